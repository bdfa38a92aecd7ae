/**
 * The controls of the stand-ins. Each call takes a connection of its own, since
 * the faults they make may silence those that are open.
 */
import { Client } from "undici";
import type { StartedAt, Starts } from "./check.ts";

interface StartLog {
  readonly starts: readonly { readonly id: string; readonly atMs: number }[];
  /** When the clock of the backend server began, in Unix milliseconds. */
  readonly originMs: number;
}

export async function setFaults(origin: string, faults: object): Promise<void> {
  const body = JSON.stringify(faults);
  await call(origin, { method: "POST", path: "/standin/faults", body });
}

/** Starts of each task over all backend servers. */
export async function readStarts(origins: readonly string[]): Promise<Starts> {
  const starts = new Map<string, StartedAt[]>();
  for (const [side, origin] of origins.entries()) {
    const path = "/standin/starts";
    const text = await call(origin, { method: "GET", path });
    const log = JSON.parse(text) as StartLog;
    const aheadMs = log.originMs - performance.timeOrigin;
    for (const { id, atMs } of log.starts) {
      const earlier = starts.get(id) ?? [];
      const own = Math.round(atMs + aheadMs);
      starts.set(id, [...earlier, { side, atMs: own }]);
    }
  }
  return starts;
}

async function call(
  origin: string,
  options: {
    readonly method: "GET" | "POST";
    readonly path: string;
    readonly body?: string;
  },
): Promise<string> {
  const client = new Client(origin);
  const headers = { "content-type": "application/json" };
  try {
    const answer = await client.request({ ...options, headers });
    const text = await answer.body.text();
    if (answer.statusCode < 300) return text;
    throw new Error(`${origin}${options.path}: ${text}`);
  } finally {
    await client.close();
  }
}
