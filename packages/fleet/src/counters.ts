/** Counters of daemons, read from their metrics. */

/** Values by group and kind, such as `sides.sent`. */
export type Counters = Readonly<Record<string, number>>;

const COUNTER = /^coltsfootreach_(\w+)_total\{kind="(\w+)"\} (\d+)$/gm;

export async function readCounters(origin: string): Promise<Counters> {
  const answer = await fetch(`${origin}/metrics`);
  const counters: Record<string, number> = {};
  for (
    const [, group, kind, value] of (await answer.text()).matchAll(COUNTER)
  ) {
    counters[`${group}.${kind}`] = Number(value);
  }
  return counters;
}

/** Sums over several daemons. */
export function addCounters(all: readonly Counters[]): Counters {
  const sums: Record<string, number> = {};
  for (const counters of all) {
    for (const [name, value] of Object.entries(counters)) {
      sums[name] = (sums[name] ?? 0) + value;
    }
  }
  return sums;
}

export function subtractCounters(after: Counters, before: Counters): Counters {
  return Object.fromEntries(
    Object.entries(after).map((
      [name, value],
    ) => [name, value - (before[name] ?? 0)]),
  );
}
