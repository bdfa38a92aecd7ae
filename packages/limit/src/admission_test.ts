import { expect } from "chai";
import {
  createAdmission,
  createTenantQueue,
  type Submission,
  type Waiting,
} from "./index.ts";

const SLOTS = 10;
const TASK_MS = 100;

function submission(options: Partial<Submission> = {}): Submission {
  const tasks = options.tasks ?? 1;
  return {
    tenant: "a",
    tasks,
    workMs: tasks * TASK_MS,
    longestMs: TASK_MS,
    deadlineMs: 5_000,
    ...options,
  };
}

function create() {
  const queue = createTenantQueue({ slots: () => SLOTS });
  const admission = createAdmission({
    outlook: queue.outlook,
    queued: queue.size,
    maxQueuedOf: () => 1_000,
    maxQueued: 1_500,
    slots: () => SLOTS,
  });
  let jobs = 0;
  function fill(tenant: string, tasks: number, deadlineAtMs: number): void {
    const job = `${tenant}${jobs++}`;
    const one = { job, tenant, class: "c", deadlineAtMs, declaredMs: TASK_MS };
    const waiting: Waiting[] = Array.from(
      { length: tasks },
      (_, index) => ({ ...one, index }),
    );
    queue.push(waiting);
  }
  return { queue, admission, fill };
}

describe("createAdmission", () => {
  it("admits what fits and refuses what cannot end in time", () => {
    const { admission } = create();
    expect(admission.judge(submission(), 0)).to.equal(undefined);
    const late = admission.judge(submission({ longestMs: 6_000 }), 0);
    expect(late).to.include({ code: "deadlineUnreachable", verdict: "notRun" });
    const big = admission.judge(submission({ tasks: 900 }), 0);
    expect(big).to.include({ code: "deadlineUnreachable", verdict: "notRun" });
    expect(big!.retryAfterMs).to.be.greaterThan(0);
  });

  it("refuses a tenant with a backlog and admits another", () => {
    const { admission, fill } = create();
    for (let job = 0; job < 900; job++) fill("a", 1, 5_000);
    const refused = admission.judge(submission(), 1);
    expect(refused).to.include({ code: "deadlineUnreachable" });
    expect(admission.judge(submission({ tenant: "b" }), 1)).to.equal(undefined);
  });

  it("lets small jobs pass a big one that waits", () => {
    const { admission, fill } = create();
    fill("a", 900, 60_000);
    expect(admission.judge(submission(), 1)).to.equal(undefined);
  });

  it("bounds what waits per tenant and in total", () => {
    const { admission, fill } = create();
    const deadlineMs = 1e9;
    fill("a", 1_000, deadlineMs);
    const own = admission.judge(submission({ deadlineMs }), 0);
    expect(own).to.include({ code: "tooMuchQueued", verdict: "notRun" });
    fill("b", 500, deadlineMs);
    const all = admission.judge(submission({ tenant: "c", deadlineMs }), 0);
    expect(all).to.include({ code: "tooMuchQueued", verdict: "notRun" });
  });
});
