/**
 * How old a submission is. Records are dropped after the resubmission window,
 * so a key must say when it was first submitted; a key without an age could
 * start its tasks again after its record is gone.
 */
import { validate, version } from "uuid";
import type { Job, Refusal } from "@coltsfootreach/types";

const UUID_V7 = 7;

/** Hexadecimal digits of a UUIDv7 that hold its Unix time in milliseconds. */
const UUID_V7_TIME_DIGITS = 12;

export interface AgeLimits {
  /** How long a key may be resubmitted, in milliseconds. */
  readonly windowMs: number;
  /** Most that clocks of callers and entries may differ, in milliseconds. */
  readonly skewMs: number;
}

/** When the key was first submitted, in Unix milliseconds, if it says so. */
export function birthOf(
  job: Pick<Job, "key" | "firstSubmittedAtMs">,
): number | undefined {
  if (job.firstSubmittedAtMs !== undefined) return job.firstSubmittedAtMs;
  const isTimed = validate(job.key) && version(job.key) === UUID_V7;
  if (!isTimed) return undefined;
  const digits = job.key.replaceAll("-", "").slice(0, UUID_V7_TIME_DIGITS);
  return parseInt(digits, 16);
}

/** Why a submission cannot be admitted for its age, if so. */
export function refusalForAge(
  job: Job,
  limits: AgeLimits,
  wallMs: number,
): Refusal | undefined {
  const birth = birthOf(job);
  if (birth === undefined) {
    return {
      code: "malformed",
      verdict: "notRun",
      reason: "give firstSubmittedAtMs or a UUIDv7 key: without it a " +
        "resubmission could not be told from a new job",
    };
  }
  if (birth > wallMs + limits.skewMs) {
    return {
      code: "malformed",
      verdict: "notRun",
      reason: "the submission time lies in the future",
    };
  }
  if (birth > wallMs - limits.windowMs) return undefined;
  return {
    code: "tooOld",
    verdict: "mayHaveRun",
    reason: "the key is older than the resubmission window, so its job may " +
      "have run and been forgotten",
  };
}
