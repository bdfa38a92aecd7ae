/** What the stand-in backend servers saw. */

interface StartLog {
  readonly counts: Readonly<Record<string, number>>;
}

/** Starts of each task by its id, over all backend servers. */
export type Starts = ReadonlyMap<string, number>;

export async function readStarts(
  backendOrigins: readonly string[],
): Promise<Starts> {
  const starts = new Map<string, number>();
  for (const origin of backendOrigins) {
    const response = await fetch(`${origin}/standin/starts`);
    const { counts } = await response.json() as StartLog;
    for (const [id, count] of Object.entries(counts)) {
      starts.set(id, (starts.get(id) ?? 0) + count);
    }
  }
  return starts;
}
