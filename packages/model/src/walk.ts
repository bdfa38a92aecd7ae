/**
 * Random walks, longer than what can be explored: a seeded run takes faults and
 * submissions from everything that may happen, and `fast-check` makes a walk
 * that fails shorter.
 */
import fc from "fast-check";
import {
  createHarness,
  type Harness,
  type Mutation,
  type Violation,
} from "@coltsfootreach/scenario";
import { type Action, describeAction, isPossible, perform } from "./action.ts";
import { MODEL_LIMITS } from "./world.ts";

export interface Walk {
  readonly walks: number;
  readonly found: WalkFinding | undefined;
}

export interface WalkFinding {
  readonly seed: number;
  readonly trace: readonly string[];
  readonly log: readonly string[];
  readonly violations: readonly Violation[];
}

export interface WalkOptions {
  readonly seed: number;
  readonly walks: number;
  /** Most actions in a walk. */
  readonly length: number;
  readonly mutation?: Mutation | undefined;
}

const ENTRIES = ["A", "B", "C"];
const SIDES = ["s1", "s2", "s3"];
const JOBS = ["J", "K", "L"];

/** Time in which a walk must come to rest in milliseconds. */
const REST_MS = 20_000;

/** Time between the end of all faults and the last submissions. */
const LULL_MS = 4000;

const name = fc.constantFrom(...ENTRIES, ...SIDES);
const entry = fc.constantFrom(...ENTRIES);
const side = fc.constantFrom(...SIDES);
const job = fc.constantFrom(...JOBS);
const pair = fc.record({ a: name, b: name }).filter(({ a, b }) => a !== b);

function at<Type extends Action["type"]>(
  type: Type,
  where: fc.Arbitrary<string>,
): fc.Arbitrary<Action> {
  return where.map((at) => ({ type, at }) as Action);
}

function between<Type extends Action["type"]>(
  type: Type,
): fc.Arbitrary<Action> {
  return pair.map(({ a, b }) => ({ type, a, b }) as Action);
}

function always(action: Action): fc.Arbitrary<Action> {
  return fc.constant(action);
}

const action: fc.Arbitrary<Action> = fc.oneof(
  {
    weight: 12,
    arbitrary: fc.constantFrom(1, 1, 2, 20, 300, 1000, 2500).map((
      ms,
    ): Action => ({ type: "wait", ms })),
  },
  {
    weight: 8,
    arbitrary: fc.record({ job, at: entry }).map((
      { job, at },
    ): Action => ({ type: "submit", job, at })),
  },
  {
    weight: 1,
    arbitrary: fc.record({ job, at: entry }).map((
      { job, at },
    ): Action => ({ type: "cancel", job, at })),
  },
  at("killEntry", entry),
  at("startEntry", entry),
  at("startEntry", entry),
  at("drainEntry", entry),
  at("killSide", side),
  at("startSide", side),
  at("startSide", side),
  at("drainSide", side),
  at("pause", name),
  at("resume", name),
  at("resume", name),
  between("cut"),
  between("heal"),
  between("heal"),
  between("silence"),
  between("breakStreams"),
  between("hold"),
  pair.chain(({ a, b }) =>
    fc.boolean().map((reversed): Action => ({
      type: "release",
      a,
      b,
      reversed,
    }))
  ),
  between("repeatFrame"),
  at("lapse", entry),
  at("cutStore", entry),
  at("healStore", entry),
  at("holdWatch", entry),
  always({ type: "releaseWatches" }),
  always({ type: "storeOut" }),
  always({ type: "storeBack" }),
  always({ type: "storeBack" }),
  always({ type: "loseAnswer" }),
  at("serverDown", side),
  at("serverUp", side),
);

/** Walks the trace; what was not possible at its time is left out. */
export function runWalk(
  trace: readonly Action[],
  options: { readonly seed: number; readonly mutation?: Mutation | undefined },
): Harness {
  const harness = createHarness({
    entries: ENTRIES,
    sides: SIDES,
    slots: 1,
    runMs: 600,
    limits: MODEL_LIMITS,
    resubmits: true,
    ...options,
  });
  JOBS.forEach((name, at) =>
    harness.makeJob(name, {
      tasks: 1 + at % 2,
      owner: ENTRIES[at]!,
      deadlineMs: 4000,
    })
  );
  for (const action of trace) {
    if (isPossible(harness, action)) perform(harness, action);
  }
  harness.heal();
  for (const name of ENTRIES) {
    if (harness.entry(name) === undefined) harness.startEntry(name);
  }
  harness.advance(LULL_MS);
  const asked = new Set(harness.calls().map((call) => call.id));
  for (const name of JOBS) {
    const { tenant, key } = harness.job(name);
    if (!asked.has(`${tenant}\n${key}`)) continue;
    harness.entryNames().forEach((at) => harness.submit(name, at));
  }
  harness.settle(REST_MS);
  return harness;
}

export function walk(options: WalkOptions): Walk {
  const { seed, walks, length, mutation } = options;
  const traces = fc.array(action, { minLength: 5, maxLength: length });
  const isSound = (trace: readonly Action[]) =>
    runWalk(trace, { seed, mutation }).violations().length === 0;
  const checked = fc.check(fc.property(traces, isSound), {
    seed,
    numRuns: walks,
  });
  if (!checked.failed) return { walks: checked.numRuns, found: undefined };
  if (checked.counterexample === null) throw checked.errorInstance;
  const trace = checked.counterexample[0];
  const harness = runWalk(trace, { seed, mutation });
  return {
    walks: checked.numRuns,
    found: {
      seed,
      trace: trace.map(describeAction),
      log: harness.trace(),
      violations: harness.violations(),
    },
  };
}
