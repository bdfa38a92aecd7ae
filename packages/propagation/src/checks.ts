/** Collects what was measured and which promises were broken. */
import { MAX_LAG_MS } from "@coltsfootreach/configure";
import { type Bed, until } from "./bed.ts";
import type { EditDelays } from "./delay.ts";
import type { Accepted } from "./operator.ts";
import { inForceSince } from "./version_log.ts";

/** How long a version is waited for before it counts as missing. */
const GIVE_UP_MS = 15_000;

export interface Phase {
  readonly name: string;
  readonly edits: EditDelays[];
  readonly notes: Record<string, number>;
}

export interface Checks {
  readonly phases: readonly Phase[];
  readonly broken: readonly string[];
  begin(name: string): Phase;
  expect(holds: boolean, promise: string): void;
  /**
   * Waits until all processes have the version. Samples are those of processes
   * that ran when it was accepted; with `dueFromMs` the time counts from there.
   */
  awaitInForce(
    phase: Phase,
    accepted: Accepted,
    options?: { readonly dueFromMs?: number },
  ): Promise<void>;
}

export function createChecks(bed: Bed): Checks {
  const phases: Phase[] = [];
  const broken: string[] = [];

  function expect(holds: boolean, promise: string): void {
    if (!holds) broken.push(promise);
  }

  function missing(version: number): readonly string[] {
    const latest = bed.latest();
    return bed.processes.filter((name) => {
      const run = latest.get(name);
      return run === undefined || inForceSince(run, version) === undefined;
    });
  }

  return {
    phases,
    broken,
    expect,
    begin(name) {
      const phase = { name, edits: [], notes: {} };
      phases.push(phase);
      return phase;
    },
    async awaitInForce(phase, { version, atMs }, options = {}) {
      const dueFromMs = options.dueFromMs ?? atMs;
      await until(() => missing(version).length === 0, GIVE_UP_MS);
      const late = missing(version);
      expect(
        late.length === 0,
        `${phase.name}: version ${version} is missing in ${late.join(", ")}`,
      );
      const delaysMs = [...bed.latest().values()]
        .filter((run) => run.startedAtMs < atMs)
        .flatMap((run) => inForceSince(run, version) ?? [])
        .map((inForceAtMs) => Math.max(0, inForceAtMs - dueFromMs));
      phase.edits.push({ version, delaysMs });
      const worstMs = Math.max(0, ...delaysMs);
      expect(
        worstMs <= MAX_LAG_MS,
        `${phase.name}: version ${version} took ${worstMs} ms`,
      );
    },
  };
}
