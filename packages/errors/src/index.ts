/**
 * Error classes. Each carries the verdict on whether the failed request may
 * have run, so that callers don't have to infer it from the message.
 */
import type { Refusal, Verdict } from "@coltsfootreach/types";

/** A settings, inventory or rules file is invalid. */
export class InvalidFile extends Error {
  readonly verdict: Verdict = "notRun";

  constructor(readonly file: string, readonly key: string, reason: string) {
    super(`${file}: ${key}: ${reason}`);
    this.name = "InvalidFile";
  }
}

/** A submission was refused before a job was created. */
export class SubmissionRefused extends Error {
  readonly verdict: Verdict;

  constructor(readonly refusal: Refusal) {
    super(refusal.reason);
    this.name = "SubmissionRefused";
    this.verdict = refusal.verdict;
  }
}

/** A store call got no usable response. A write may have taken effect. */
export class StoreUnavailable extends Error {
  constructor(readonly verdict: Verdict, reason: string) {
    super(reason);
    this.name = "StoreUnavailable";
  }
}

/** Listening for links or streams from other processes failed. */
export class ListenFailed extends Error {
  constructor(readonly verdict: Verdict, reason: string) {
    super(reason);
    this.name = "ListenFailed";
  }
}
