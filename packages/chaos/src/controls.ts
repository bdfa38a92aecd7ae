/**
 * The controls of the stand-ins. Each call takes a connection of its own, since
 * the faults they make may silence those that are open.
 */
import { Client } from "undici";
import type { Starts } from "./check.ts";

interface StartLog {
  readonly counts: Readonly<Record<string, number>>;
}

export async function setFaults(origin: string, faults: object): Promise<void> {
  const body = JSON.stringify(faults);
  await call(origin, { method: "POST", path: "/standin/faults", body });
}

/** Starts of each task over all backend servers. */
export async function readStarts(origins: readonly string[]): Promise<Starts> {
  const starts = new Map<string, number>();
  for (const origin of origins) {
    const path = "/standin/starts";
    const text = await call(origin, { method: "GET", path });
    const { counts } = JSON.parse(text) as StartLog;
    for (const [id, count] of Object.entries(counts)) {
      starts.set(id, (starts.get(id) ?? 0) + count);
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
