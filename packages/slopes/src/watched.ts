/** Reads what daemons and the store used between two moments. */
import { type Child, type Fleet, readUsage } from "@coltsfootreach/fleet";

export interface Used {
  readonly elapsedMs: number;
  readonly cpuMs: number;
  readonly movedBytes: number;
  readonly storeCalls: number;
}

/** Sums over processes. */
interface Sums {
  readonly cpuMs: number;
  readonly movedBytes: number;
}

function sumUsage(children: readonly Child[]): Sums {
  const usages = children.map((child) => readUsage(child.pid()!));
  return {
    cpuMs: usages.reduce((sum, one) => sum + one.cpuMs, 0),
    movedBytes: usages.reduce((sum, one) => sum + one.movedBytes, 0),
  };
}

export async function countStoreCalls(control: string): Promise<number> {
  const answer = await fetch(`${control}/standin/calls`);
  const calls = await answer.json() as Record<string, number>;
  return Object.values(calls).reduce((sum, count) => sum + count, 0);
}

export async function watchFleet(
  fleet: Fleet,
  run: () => Promise<unknown>,
): Promise<Used> {
  const children = fleet.entries.map(({ child }) => child);
  const calls = await countStoreCalls(fleet.storeControl);
  const before = sumUsage(children);
  const startedAtMs = performance.now();
  await run();
  const elapsedMs = performance.now() - startedAtMs;
  const after = sumUsage(children);
  return {
    elapsedMs,
    cpuMs: after.cpuMs - before.cpuMs,
    movedBytes: after.movedBytes - before.movedBytes,
    storeCalls: await countStoreCalls(fleet.storeControl) - calls,
  };
}

export function pause(ms: number): Promise<void> {
  return new Promise((wake) => setTimeout(wake, ms));
}

export function median(values: readonly number[]): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.floor(sorted.length / 2)]!;
}
