/** The side process: the only client of its VM's backend server. */
import { setTimeout } from "node:timers/promises";
import type { Log } from "@coltsfootreach/log";
import {
  type Announcement,
  BUSY_TICK_MS,
  IDLE_TICK_MS,
  isAddress,
  type Timing,
} from "@coltsfootreach/run";
import type { Store } from "@coltsfootreach/store";
import { createWorkerCore, type WorkerEffect } from "@coltsfootreach/worker";
import { createDecisionLog } from "./decision_log.ts";
import { formatCounters } from "./entry_metrics.ts";
import { createEntryStreams } from "./entry_streams.ts";
import { monotonicNowMs, startCoreLoop } from "./loop.ts";
import { discoverEntries } from "./membership.ts";
import type { BackendServerClient } from "./ports.ts";
import { createProcessStaleInput } from "./stale_input.ts";

/** Interval for checking whether all runs have ended while draining. */
const DRAIN_POLL_INTERVAL_MS = 50;

export interface SideOptions {
  readonly name: string;
  readonly dataCentre: string;
  readonly timing: Timing;
  readonly store: Store;
  readonly backendServer: BackendServerClient;
  readonly log: Log;
}

export interface SideProcess {
  announced(announcement: Announcement): void;
  /** The backend server with this ID has left. */
  left(id: string): void;
  /** Counters as Prometheus text. */
  metricsText(): string;
  /** Drains: starts no new runs, waits up to `graceMs` for runs, then stops. */
  stop(graceMs: number): Promise<void>;
}

export function startSide(options: SideOptions): SideProcess {
  const { log, backendServer } = options;
  const decisionLog = createDecisionLog(log);
  const core = createWorkerCore({
    side: options.name,
    dataCentre: options.dataCentre,
    timing: options.timing,
    initialFencingToken: Date.now(),
  });
  const staleInput = createProcessStaleInput({
    thresholdMs: options.timing.pauseThresholdMs,
  });
  const loop = startCoreLoop({
    tickMs: () => isBusy() ? BUSY_TICK_MS : IDLE_TICK_MS,
    tick(now) {
      checkInput(now);
      core.tick(now);
    },
    applyEffects,
  });
  const streams = createEntryStreams({
    opened(owner) {
      core.ownerOpened(owner, monotonicNowMs());
      loop.wake();
    },
    received(owner, frame) {
      const now = monotonicNowMs();
      checkInput(now);
      core.ownerSent(owner, frame, now);
      if (frame.entries !== undefined) {
        streams.addAddresses(frame.entries.filter(isAddress));
      }
      loop.wake();
    },
    closed(owner) {
      core.ownerClosed(owner, monotonicNowMs());
      loop.wake();
    },
    failed(entry, error) {
      log.error(
        "stream to an entry closed: a frame could not be decoded or handled",
        { entry, reason: error.message },
      );
    },
  });
  const discovery = discoverEntries({
    store: options.store,
    log,
    isDisconnected: () => streams.connected() === 0,
    found: streams.addAddresses,
  });

  function checkInput(now: number): void {
    staleInput.check();
    if (staleInput.maxAgeMs() > 0) core.pauseDetected(now);
  }

  function isBusy(): boolean {
    return core.runs() > 0 || core.hasUnsentReport() || core.isServerJoining();
  }

  function applyEffects(now: number): void {
    for (const effect of core.takeEffects(now)) applyEffect(effect, now);
  }

  function applyEffect(effect: WorkerEffect, now: number): void {
    switch (effect.kind) {
      case "send":
        streams.send(effect.owner, effect.frame);
        return;
      case "close":
        streams.close(effect.owner);
        return;
      case "log":
        decisionLog.write(effect.decision, now);
        return;
      default:
        callServer(effect);
    }
  }

  async function callServer(
    effect: Extract<WorkerEffect, { kind: "start" | "stop" | "list" }>,
  ): Promise<void> {
    if (effect.kind === "start") {
      const reply = await backendServer.start(effect.request);
      core.startReplied(effect.request.ref, reply, monotonicNowMs());
    } else if (effect.kind === "stop") {
      const reply = await backendServer.stop(effect.request);
      core.stopReplied(effect.request.ref, reply, monotonicNowMs());
    } else {
      const reply = await backendServer.list(effect.request);
      core.listReplied(effect.request, reply, monotonicNowMs());
    }
    loop.wake();
  }

  return {
    announced(announcement) {
      core.announced(announcement);
      loop.wake();
    },
    left(id) {
      core.left(id, monotonicNowMs());
      loop.wake();
    },
    metricsText() {
      const counts = {
        ...core.counts(),
        runsLive: core.runs(),
        entriesConnected: streams.connected(),
        logLinesDropped: decisionLog.dropped(),
      };
      return `${formatCounters(counts).join("\n")}\n`;
    },
    async stop(graceMs) {
      core.close();
      loop.wake();
      const deadline = monotonicNowMs() + graceMs;
      while (core.runs() > 0 && monotonicNowMs() < deadline) {
        await setTimeout(DRAIN_POLL_INTERVAL_MS);
      }
      discovery.stop();
      streams.stop();
      loop.stop();
    },
  };
}
