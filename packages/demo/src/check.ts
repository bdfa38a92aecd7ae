/** Holds what came back, and what the backend servers saw, to the promises. */
import type { Starts } from "@coltsfootreach/fleet";
import type { Returned } from "./caller.ts";

export interface Faults {
  readonly doubleStarts: number;
  readonly jobsWithoutEnd: number;
  readonly falseNotRun: number;
  readonly wrongAnswers: number;
  /** Tasks that are said to have run and that no backend server saw. */
  readonly falseRan: number;
}

export function findFaults(
  returned: readonly Returned[],
  starts: Starts,
): Faults {
  let jobsWithoutEnd = 0;
  let falseNotRun = 0;
  let wrongAnswers = 0;
  let falseRan = 0;
  for (const one of returned) {
    if (one.kind !== "answer") {
      jobsWithoutEnd += 1;
      continue;
    }
    if (!isOwnAnswer(one)) wrongAnswers += 1;
    for (const outcome of one.answer.outcomes) {
      const id = `${one.job.tenant}\n${one.job.key}\n${outcome.index}`;
      if (outcome.verdict === "notRun" && starts.has(id)) falseNotRun += 1;
      if (outcome.verdict === "ran" && !starts.has(id)) falseRan += 1;
    }
  }
  const doubles = [...starts.values()].filter((count) => count > 1);
  return {
    doubleStarts: doubles.length,
    jobsWithoutEnd,
    falseNotRun,
    wrongAnswers,
    falseRan,
  };
}

/** Each outcome must be the echo of its own task, in order. */
function isOwnAnswer(one: Extract<Returned, { kind: "answer" }>): boolean {
  const { answer, job } = one;
  if (answer.key !== job.key) return false;
  if (answer.outcomes.length !== job.tasks.length) return false;
  return answer.outcomes.every((outcome, index) => {
    if (outcome.index !== index) return false;
    if (outcome.state === "failed") return true;
    return outcome.body === JSON.parse(job.tasks[index]!.body).echo;
  });
}
