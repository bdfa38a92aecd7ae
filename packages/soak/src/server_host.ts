/**
 * The backend server on a side's VM, over its lives: it crashes, drains and
 * leaves, and starts again, sometimes under the id that it had.
 */
import { setTimeout as sleep } from "node:timers/promises";
import { startServerApp } from "@coltsfootreach/platform";
import { MIN_CLOCK_RATE, type RunRef } from "@coltsfootreach/run";
import {
  type Checker,
  createServerStandin,
  type Random,
  type ServerStandin,
  type TaskProfile,
} from "@coltsfootreach/simulate";
import { SAMPLE_BOUNDS } from "@coltsfootreach/standin";

/** Minimum time in service after a side acknowledged that it is draining. */
const DRAIN_MS = 2000;

/** Longest time in service after that. */
const MAX_EXTRA_DRAIN_MS = 2000;

/** Longest time between the acknowledgement of a leave notice and the end. */
const MAX_LINGER_MS = 2000;

/** A server ends this long after a leave notice that nobody acknowledged. */
const UNACKNOWLEDGED_LINGER_MS = 3000;

const ANNOUNCE_RETRY_MS = 500;

const MAX_ANNOUNCE_RETRIES = 6;

/** Longest delay of a notice that arrives after another life has begun. */
const MAX_NOTICE_DELAY_MS = 3000;

export interface ServerHostOptions {
  readonly index: number;
  /** Where the server accepts requests, as `IP:port`. */
  readonly address: string;
  /** Where its side accepts announcements, as `IP:port`. */
  readonly sideAddress: string;
  readonly service: string;
  readonly random: Random;
  readonly checker: Checker;
  now(): number;
  taskProfile(ref: RunRef): TaskProfile;
}

export interface ServerHost {
  server(): ServerStandin;
  /** Ends the server at once; another life follows. */
  crash(downMs: number): void;
  /** Drains the server, sends a leave notice and ends; another life follows. */
  leave(downMs: number): Promise<void>;
  /** Sends a leave notice of an earlier life under the server's id. */
  sendStaleLeaveNotice(): void;
  setResponseLossRate(rate: number): void;
  close(): Promise<void>;
}

export async function startServerHost(
  options: ServerHostOptions,
): Promise<ServerHost> {
  const { index, random, checker, now } = options;
  let responseLossRate = 0;
  let lives = 0;
  let serverId = "";
  let isDraining = false;
  let isClosed = false;
  let server = createServer();

  function createServer(): ServerStandin {
    lives += 1;
    // A restarted server may reuse its previous id.
    if (serverId === "" || random.chance(0.5)) {
      serverId = `server-${index}-${lives}`;
    }
    return createServerStandin({
      clock: {
        now,
        after: (delayMs, event) => setTimeout(event, delayMs),
        runUntil() {},
      },
      id: serverId,
      born: 1_000_000 * (lives + 1) + Math.floor(now()),
      capacity: { cpu: 16_000, memoryMb: 65_536, gpu: 0 },
      slowness: 1,
      clockRate: MIN_CLOCK_RATE,
      maxLeaseMs: SAMPLE_BOUNDS.maxLeaseMs,
      stopMs: SAMPLE_BOUNDS.stopMs,
      profileOf: options.taskProfile,
      observer: checker,
    });
  }

  const app = await startServerApp({
    address: options.address,
    sideAddress: options.sideAddress,
    service: options.service,
    currentServer: () => server,
    isDraining: () => isDraining,
    responseLossRate: () => responseLossRate,
    random: random.next,
  });

  /** Ends the runs, and with them the process or only its connections. */
  async function end(downMs: number, isRefusing: boolean): Promise<void> {
    if (!server.isUp()) return;
    const endingId = server.id;
    server.crash();
    if (isRefusing) await app.setListening(false);
    await sleep(downMs);
    if (isClosed) return;
    isDraining = false;
    server = createServer();
    if (isRefusing) await app.setListening(true);
    if (random.chance(0.3)) sendDelayedLeaveNotice(endingId);
  }

  function sendDelayedLeaveNotice(id: string): void {
    setTimeout(() => {
      if (!isClosed) app.sendLeaveNotice(id);
    }, random.next() * MAX_NOTICE_DELAY_MS);
  }

  async function announceDraining(): Promise<void> {
    for (let retry = 0; retry < MAX_ANNOUNCE_RETRIES; retry += 1) {
      if (await app.announce()) return;
      await sleep(ANNOUNCE_RETRY_MS);
    }
  }

  async function leave(downMs: number): Promise<void> {
    const leaving = server;
    if (isDraining || !leaving.isUp()) return;
    isDraining = true;
    await announceDraining();
    leaving.startDeadline = now() + DRAIN_MS;
    await sleep(DRAIN_MS + random.next() * MAX_EXTRA_DRAIN_MS);
    if (isClosed || server !== leaving || !leaving.isUp()) return;
    const isAcknowledged = await app.sendLeaveNotice(leaving.id);
    const lingerMs = random.chance(0.3) ? 0 : random.next() * MAX_LINGER_MS;
    await sleep(isAcknowledged ? lingerMs : UNACKNOWLEDGED_LINGER_MS);
    if (!isClosed && server === leaving) await end(downMs, true);
  }

  return {
    server: () => server,
    crash(downMs) {
      end(downMs, random.chance(0.5));
    },
    leave,
    sendStaleLeaveNotice() {
      app.sendLeaveNotice(server.id);
    },
    setResponseLossRate(rate) {
      responseLossRate = rate;
    },
    close() {
      isClosed = true;
      server.crash();
      return app.close();
    },
  };
}
