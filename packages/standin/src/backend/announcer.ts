/**
 * Announces a backend server to the side on its VM, again and again, and says
 * goodbye when it leaves. A side that is away is simply tried again.
 */
import type { Announcement } from "@coltsfootreach/types";
import { request } from "undici";

const INTERVAL_MS = 1000;
const TIMEOUT_MS = 900;

export interface Announcer {
  start(): void;
  /** Falls silent without a goodbye. */
  stop(): void;
  /** Falls silent and tells the side. */
  leave(): Promise<void>;
}

export interface AnnouncerOptions {
  /** HTTP origin of the side. */
  readonly sideOrigin: string;
  readonly announcement: Announcement;
}

export function createAnnouncer(options: AnnouncerOptions): Announcer {
  const { sideOrigin, announcement } = options;
  let timer: NodeJS.Timeout | undefined;
  let announced: Promise<void> = Promise.resolve();

  return { start, stop, leave };

  function start(): void {
    if (timer === undefined) {
      timer = setInterval(announce, INTERVAL_MS);
      announce();
    }
  }

  function stop(): void {
    clearInterval(timer);
    timer = undefined;
  }

  async function leave(): Promise<void> {
    stop();
    // An announcement that arrives after the goodbye would undo it.
    await announced;
    const name = encodeURIComponent(announcement.server);
    await send("DELETE", `/announcements/${name}`);
  }

  function announce(): void {
    announced = send("POST", "/announcements", JSON.stringify(announcement));
  }

  async function send(
    method: "POST" | "DELETE",
    path: string,
    body?: string,
  ): Promise<void> {
    try {
      const response = await request(`${sideOrigin}${path}`, {
        method,
        headers: { "content-type": "application/json" },
        body: body ?? null,
        signal: AbortSignal.timeout(TIMEOUT_MS),
      });
      await response.body.dump();
    } catch {
      // The next announcement tries again.
    }
  }
}
