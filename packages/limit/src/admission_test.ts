import { expect } from "chai";
import {
  createAdmission,
  createTenantQueue,
  type QueuedTask,
  type Submission,
} from "./index.ts";

const SLOTS = 10;
const TASK_MS = 100;

function createSubmission(options: Partial<Submission> = {}): Submission {
  const tasks = options.tasks ?? 1;
  return {
    tenant: "a",
    tasks,
    workMs: tasks * TASK_MS,
    longestTaskMs: TASK_MS,
    deadlineMs: 5_000,
    ...options,
  };
}

function createFixture() {
  const queue = createTenantQueue({ slots: () => SLOTS });
  const admission = createAdmission({
    forecast: queue.forecast,
    queued: queue.size,
    maxQueuedOf: () => 1_000,
    maxQueued: 1_500,
    slots: () => SLOTS,
  });
  let jobs = 0;
  function enqueue(tenant: string, tasks: number, deadlineAtMs: number): void {
    const job = `${tenant}${jobs++}`;
    const sharedFields = {
      job,
      tenant,
      class: "c",
      deadlineAtMs,
      declaredMs: TASK_MS,
    };
    const queuedTasks: QueuedTask[] = Array.from(
      { length: tasks },
      (_, index) => ({ ...sharedFields, index }),
    );
    queue.push(queuedTasks);
  }
  return { queue, admission, enqueue };
}

describe("createAdmission", () => {
  it("admits a feasible job and refuses jobs that cannot meet their deadline", () => {
    const { admission } = createFixture();
    expect(admission.evaluate(createSubmission(), 0)).to.equal(undefined);
    const unreachable = admission.evaluate(
      createSubmission({ longestTaskMs: 6_000 }),
      0,
    );
    expect(unreachable).to.include({
      code: "deadlineUnreachable",
      verdict: "notRun",
    });
    const tooBig = admission.evaluate(createSubmission({ tasks: 900 }), 0);
    expect(tooBig).to.include({
      code: "deadlineUnreachable",
      verdict: "notRun",
    });
    expect(tooBig!.retryAfterMs).to.be.greaterThan(0);
  });

  it("refuses a tenant with a long backlog and admits another tenant", () => {
    const { admission, enqueue } = createFixture();
    for (let job = 0; job < 900; job++) enqueue("a", 1, 5_000);
    const refusal = admission.evaluate(createSubmission(), 1);
    expect(refusal).to.include({ code: "deadlineUnreachable" });
    expect(admission.evaluate(createSubmission({ tenant: "b" }), 1)).to.equal(
      undefined,
    );
  });

  it("lets small jobs overtake a large queued job", () => {
    const { admission, enqueue } = createFixture();
    enqueue("a", 900, 60_000);
    expect(admission.evaluate(createSubmission(), 1)).to.equal(undefined);
  });

  it("limits the queued tasks per tenant and in total", () => {
    const { admission, enqueue } = createFixture();
    const deadlineMs = 1e9;
    enqueue("a", 1_000, deadlineMs);
    const tenantRefusal = admission.evaluate(
      createSubmission({ deadlineMs }),
      0,
    );
    expect(tenantRefusal).to.include({
      code: "tooMuchQueued",
      verdict: "notRun",
    });
    enqueue("b", 500, deadlineMs);
    const totalRefusal = admission.evaluate(
      createSubmission({ tenant: "c", deadlineMs }),
      0,
    );
    expect(totalRefusal).to.include({
      code: "tooMuchQueued",
      verdict: "notRun",
    });
  });
});
