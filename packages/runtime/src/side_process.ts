/** A side: the one process that talks to the backend server of its VM. */
import { setTimeout } from "node:timers/promises";
import type { Log } from "@coltsfootreach/log";
import {
  type Announcement,
  BUSY_TICK_MS,
  type Timing,
} from "@coltsfootreach/run";
import type { Store } from "@coltsfootreach/store";
import { createWorkerCore, type WorkerEffect } from "@coltsfootreach/worker";
import { createDecisionLog } from "./decision_log.ts";
import { formatCounts } from "./entry_metrics.ts";
import { createEntryStreams } from "./entry_streams.ts";
import { runLoop, steadyNow } from "./loop.ts";
import { findEntries } from "./membership.ts";
import { watchForPause } from "./pause.ts";
import type { ServerCalls } from "./ports.ts";

/** Time between ticks while nothing runs or is to be reported. */
const IDLE_TICK_MS = 200;

/** Time between looks whether the last run has ended, while stopping. */
const DRAIN_LOOK_MS = 50;

export interface SideOptions {
  readonly name: string;
  readonly dataCentre: string;
  readonly timing: Timing;
  readonly store: Store;
  readonly calls: ServerCalls;
  readonly log: Log;
}

export interface SideProcess {
  announced(announcement: Announcement): void;
  /** The backend server with this id has left. */
  left(id: string): void;
  /** Counters, as text for a collector. */
  metricsText(): string;
  /** Starts nothing more, lets runs end for at most so long, and leaves. */
  stop(graceMs: number): Promise<void>;
}

export function startSide(options: SideOptions): SideProcess {
  const { log, calls } = options;
  const decisions = createDecisionLog(log);
  const core = createWorkerCore({
    side: options.name,
    dataCentre: options.dataCentre,
    timing: options.timing,
  });
  const pause = watchForPause({
    steadyMs: steadyNow,
    wallMs: Date.now,
    longestTurnMs: options.timing.pauseThresholdMs,
  });
  const loop = runLoop({
    tickMs: () =>
      core.runs() > 0 || core.hasUnsentReport() ? BUSY_TICK_MS : IDLE_TICK_MS,
    tick(now) {
      if (pause.isOver()) core.suspended(now);
      core.tick(now);
    },
    carryOut,
  });
  const streams = createEntryStreams({
    opened(owner) {
      core.ownerOpened(owner, steadyNow());
      loop.poke();
    },
    received(owner, frame) {
      if (pause.isOver()) core.suspended(steadyNow());
      core.ownerSent(owner, frame, steadyNow());
      if (frame.entries !== undefined) streams.know(frame.entries);
      loop.poke();
    },
    closed(owner) {
      core.ownerClosed(owner, steadyNow());
      loop.poke();
    },
    failed(entry, fault) {
      log.error("stream ended", { entry, reason: fault.message });
    },
  });
  const finder = findEntries({
    store: options.store,
    log,
    isLonely: () => streams.connected() === 0,
    found: streams.know,
  });

  function carryOut(now: number): void {
    for (const effect of core.takeEffects(now)) perform(effect, now);
  }

  function perform(effect: WorkerEffect, now: number): void {
    switch (effect.kind) {
      case "send":
        streams.send(effect.owner, effect.frame);
        return;
      case "close":
        streams.close(effect.owner);
        return;
      case "log":
        decisions.write(effect.decision, now);
        return;
      default:
        call(effect);
    }
  }

  async function call(
    effect: Extract<WorkerEffect, { kind: "start" | "stop" | "list" }>,
  ): Promise<void> {
    if (effect.kind === "start") {
      const reply = await calls.start(effect.order);
      core.startReplied(effect.order.ref, reply, steadyNow());
    } else if (effect.kind === "stop") {
      const reply = await calls.stop(effect.order);
      core.stopReplied(effect.order.ref, reply, steadyNow());
    } else {
      const reply = await calls.list(effect.order);
      core.listReplied(effect.order, reply, steadyNow());
    }
    loop.poke();
  }

  return {
    announced(announcement) {
      core.announced(announcement);
      loop.poke();
    },
    left(id) {
      core.left(id);
      loop.poke();
    },
    metricsText() {
      const counts = {
        ...core.counts(),
        runsLive: core.runs(),
        entriesConnected: streams.connected(),
        logLinesDropped: decisions.dropped(),
      };
      return `${formatCounts(counts).join("\n")}\n`;
    },
    async stop(graceMs) {
      core.close();
      loop.poke();
      const deadline = steadyNow() + graceMs;
      while (core.runs() > 0 && steadyNow() < deadline) {
        await setTimeout(DRAIN_LOOK_MS);
      }
      finder.stop();
      streams.stop();
      loop.stop();
    },
  };
}
