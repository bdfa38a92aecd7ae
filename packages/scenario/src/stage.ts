/** One scenario while it runs: its harness, made by the first steps. */
import { expect } from "chai";
import {
  type Call,
  createHarness,
  type Harness,
  type HarnessOptions,
} from "./harness.ts";

/** Every scenario runs under this seed unless it names another. */
const DEFAULT_SEED = 1;

export interface Stage {
  open(options: Omit<HarnessOptions, "seed">): void;
  setSeed(seed: number): void;
  harness(): Harness;
  /** Notes an action in the trace and takes it. */
  act(event: string, run: (harness: Harness) => void): void;
  /** Lets time pass until it holds, up to a bound. */
  await(withinMs: number, holds: () => boolean): boolean;
  /** The last request made for a job. */
  lastCall(job: string): Call;
  /** Heals everything, and checks what must always hold. */
  finish(restMs: number): void;
  /** Seed and trace, for a failure. */
  report(): string;
}

const STEP_MS = 10;

export function createStage(): Stage {
  let seed = DEFAULT_SEED;
  let opened: Harness | undefined;

  function harness(): Harness {
    if (opened === undefined) throw new Error("the scenario names no entries");
    return opened;
  }

  return {
    open(options) {
      opened = createHarness({ ...options, seed });
    },
    setSeed(next) {
      seed = next;
    },
    harness,
    act(event, run) {
      harness().note(event);
      run(harness());
    },
    await(withinMs, holds) {
      const untilMs = harness().nowMs() + withinMs;
      while (!holds() && harness().nowMs() < untilMs) {
        harness().advance(STEP_MS);
      }
      return holds();
    },
    lastCall(job) {
      const call = harness().callsOf(job).at(-1);
      if (call === undefined) throw new Error(`nobody asked for job ${job}`);
      return call;
    },
    finish(restMs) {
      harness().settle(restMs);
      expect(harness().violations()).to.deep.equal([]);
    },
    report() {
      const trace = opened?.trace().join("\n") ?? "";
      return `seed ${seed}\n${trace}`;
    },
  };
}
