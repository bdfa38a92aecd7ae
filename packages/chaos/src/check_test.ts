import { expect } from "chai";
import type { Answer, Verdict } from "@coltsfootreach/types";
import {
  type Attempt,
  check,
  type JobTrace,
  type StartedAt,
  taskId,
} from "./check.ts";
import type { PlannedJob } from "./workload.ts";

const JOB: PlannedJob = {
  atMs: 0,
  key: "k",
  tenant: "t",
  class: "c",
  deadlineMs: 100,
  tasks: [
    { sleepMs: 1, echo: "k/0", fail: false },
    { sleepMs: 1, echo: "k/1", fail: false },
  ],
  copiesAfterMs: [],
};

const ONCE: readonly StartedAt[] = [{ side: 0, atMs: 1 }];

const BOTH = new Map([[taskId(JOB, 0), ONCE], [taskId(JOB, 1), ONCE]]);

const ANSWER: Answer = {
  key: "k",
  tenant: "t",
  state: "complete",
  late: false,
  verdict: "ran",
  outcomes: [0, 1].map((index) => ({
    index,
    state: "complete",
    verdict: "ran",
    body: `k/${index}`,
  })),
};

function attemptOf(reply: Partial<Attempt>): Attempt {
  return { url: "", sentAtMs: 0, endedAtMs: 50, ...reply };
}

function traceOf(reply: Partial<Attempt>): JobTrace {
  const attempts = [attemptOf(reply)];
  return { job: JOB, copies: [{ job: JOB, attempts }], cancels: [] };
}

function failedWith(verdict: Verdict): Answer {
  const failed = { index: 1, state: "failed", verdict } as const;
  const outcomes = [ANSWER.outcomes[0]!, failed];
  return { ...ANSWER, state: "failed", verdict: "ran", outcomes };
}

function brokenBy(
  reply: Partial<Attempt>,
  starts: ReadonlyMap<string, readonly StartedAt[]> = BOTH,
): string[] {
  const { findings } = check([traceOf(reply)], { starts, lateMarginMs: 1000 });
  return findings.map(({ promise }) => promise);
}

describe("the check of the promises", () => {
  it("finds nothing wrong with a whole answer in time", () => {
    expect(brokenBy({ answer: ANSWER })).to.deep.equal([]);
  });

  it("finds a second start, whatever the answer says", () => {
    const twice = new Map(BOTH).set(taskId(JOB, 1), [...ONCE, ...ONCE]);
    expect(brokenBy({ answer: ANSWER }, twice)).to.deep.equal(["doubleStarts"]);
  });

  it("finds a caller without an end", () => {
    expect(brokenBy({ lost: "reset" })).to.deep.equal(["jobsWithoutEnd"]);
    const refusal = {
      code: "undecided",
      verdict: "mayHaveRun",
      reason: "",
    } as const;
    expect(brokenBy({ refusal })).to.deep.equal(["jobsWithoutEnd"]);
  });

  it("finds a notRun of a task that started", () => {
    expect(brokenBy({ answer: failedWith("notRun") }))
      .to.deep.equal(["falseNotRun"]);
    const refusal = {
      code: "tooMuchQueued",
      verdict: "notRun",
      reason: "",
    } as const;
    expect(brokenBy({ refusal })).to.deep.equal(["falseNotRun"]);
  });

  it("allows a start that was asked for after a refusal", () => {
    const refusal = {
      code: "deadlineUnreachable",
      verdict: "notRun",
      reason: "",
    } as const;
    const told = { url: "", sentAtMs: 100, endedAtMs: 110, refusal };
    const again = { url: "", sentAtMs: 120, endedAtMs: 200, answer: ANSWER };
    const trace = {
      job: JOB,
      copies: [{ job: JOB, attempts: [told, again] }],
      cancels: [],
    };
    const brokenAt = (atMs: number) => {
      const at = [{ side: 0, atMs }];
      const starts = new Map([[taskId(JOB, 0), at], [taskId(JOB, 1), at]]);
      return check([trace], { starts, lateMarginMs: 1000 }).findings
        .map(({ promise }) => promise);
    };
    expect(brokenAt(130)).to.deep.equal([]);
    expect(brokenAt(105)).to.deep.equal(["falseNotRun"]);
    expect(brokenAt(115)).to.deep.equal(["falseNotRun"]);
  });

  it("takes a notRun of a task that never started", () => {
    const first = new Map([[taskId(JOB, 0), ONCE]]);
    expect(brokenBy({ answer: failedWith("notRun") }, first))
      .to.deep.equal([]);
  });

  it("finds answers that are not one's own, not in order or not whole", () => {
    const [first, second] = ANSWER.outcomes as [
      Answer["outcomes"][number],
      Answer["outcomes"][number],
    ];
    const wrong: Answer[] = [
      { ...ANSWER, key: "other" },
      { ...ANSWER, outcomes: [second, first] },
      { ...ANSWER, outcomes: [first] },
      { ...ANSWER, outcomes: [first, { ...second, body: "other" }] },
      { ...ANSWER, state: "failed" },
    ];
    for (const answer of wrong) {
      expect(brokenBy({ answer })).to.deep.equal(["wrongAnswers"]);
    }
  });

  it("finds a task that is said to have run and did not start", () => {
    const first = new Map([[taskId(JOB, 0), ONCE]]);
    expect(brokenBy({ answer: ANSWER }, first)).to.deep.equal(["wrongAnswers"]);
  });

  it("finds an answer that is late and not marked", () => {
    expect(brokenBy({ answer: ANSWER, endedAtMs: 1101 }))
      .to.deep.equal(["unmarkedLate"]);
    const late = { ...ANSWER, late: true };
    expect(brokenBy({ answer: late, endedAtMs: 1101 })).to.deep.equal([]);
  });
});
