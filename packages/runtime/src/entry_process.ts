/** The entry process: accepts jobs from callers and streams from sides. */
import { setTimeout } from "node:timers/promises";
import { ListenFailed } from "@coltsfootreach/errors";
import {
  createCallerAgeEstimator,
  createDispatcher,
  type DispatchEffect,
  type SessionId,
} from "@coltsfootreach/dispatch";
import type { Log } from "@coltsfootreach/log";
import {
  BUSY_TICK_MS,
  type DispatchFrame,
  IDLE_TICK_MS,
  isWorkFrame,
  type Job,
  type Queue,
  type QueueTable,
  type Timing,
  type WorkFrame,
} from "@coltsfootreach/run";
import type { Store } from "@coltsfootreach/store";
import { listenForStreams, type Stream } from "@coltsfootreach/stream";
import { err, ok, type Result } from "neverthrow";
import { type Configuration, watchConfiguration } from "./configuration.ts";
import { createDecisionLog } from "./decision_log.ts";
import { monotonicNowMs, startCoreLoop } from "./loop.ts";
import { createEntryMetrics } from "./entry_metrics.ts";
import { joinMembership } from "./membership.ts";
import type { ConfigurationSource } from "./ports.ts";
import { syncSharedRecord } from "./shared_record.ts";
import { createProcessStaleInput } from "./stale_input.ts";
import { createSubmissions, type PendingAnswer } from "./submissions.ts";

/** Store key of the estimates of callers' usual timeouts. */
const TIMEOUT_ESTIMATES_KEY = "shared/patience";

/** Time after startup in which callers with broken connections reconnect. */
const RECONNECT_WINDOW_MS = 6000;

/** The load balancer probes once a second and needs two failed probes. */
const READINESS_PROPAGATION_MS = 2500;

export interface EntryOptions {
  readonly name: string;
  /** Address to listen on for sides, as `IP:port`. */
  readonly listen: string;
  readonly store: Store;
  readonly document: ConfigurationSource;
  readonly timing: Timing;
  /** Factor by which a task takes longer outside the rack that has its data. */
  readonly remoteFactor: number;
  readonly log: Log;
}

/** The connections on which callers submit jobs. */
export interface CallerConnections {
  /**
   * Stops accepting connections, closes idle ones, and waits until the others
   * have received their answers or the timeout has passed.
   */
  close(timeoutMs: number): Promise<void>;
}

export interface EntryProcess {
  table(): QueueTable | undefined;
  submit(queue: Queue, job: Job): PendingAnswer;
  /** True while the load balancer should route callers to this entry. */
  isReady(): boolean;
  /** True once `stop` was called: callers should use another entry. */
  isStopping(): boolean;
  /** Counters and response times as Prometheus text. */
  metricsText(): string;
  /** Drains: serves callers until their connections close, then deregisters. */
  stop(graceMs: number, callers: CallerConnections): Promise<void>;
}

export async function startEntry(
  options: EntryOptions,
): Promise<Result<EntryProcess, ListenFailed>> {
  const { log } = options;
  const decisionLog = createDecisionLog(log);
  const callerAgeEstimator = createCallerAgeEstimator();
  const dispatcher = createDispatcher({
    entry: options.name,
    timing: options.timing,
    remoteFactor: options.remoteFactor,
    random: Math.random,
  });
  const metrics = createEntryMetrics(() => ({
    ...dispatcher.counts(),
    jobsLive: dispatcher.liveJobs(),
    configurationVersion: configuration.table()?.version ?? 0,
    configurationAgeMs: Math.round(configuration.ageMs()),
    logLinesDropped: decisionLog.dropped(),
  }));
  const startedAtMs = monotonicNowMs();
  const streams = new Map<SessionId, Stream<DispatchFrame>>();
  /** Entry addresses, in the same order on all entries. */
  let entries: readonly string[] = [];
  let lastSessionId = 0;
  let isStopping = false;

  const staleInput = createProcessStaleInput({
    thresholdMs: options.timing.pauseThresholdMs,
    paused(pauseMs) {
      log.warn("process was paused; jobs that it reads now may have waited", {
        figures: { pauseMs: Math.round(pauseMs) },
      });
    },
  });
  const submissions = createSubmissions({
    metrics,
    configurationVersion: () => configuration.table()?.version ?? 0,
    callerAge(queue, job) {
      staleInput.check();
      return {
        ageMs: estimateAgeMs(queue, job, monotonicNowMs()),
        maxAgeMs: staleInput.maxAgeMs(),
      };
    },
    submit(submission, now) {
      dispatcher.submit(submission, now);
      loop.wake();
    },
    abandon(id, now) {
      dispatcher.abandon(id, now);
      loop.wake();
    },
    dropped(job, queue) {
      const message = "caller disconnected before its job was considered";
      const decision = { message, job: job.id, queue: queue.name };
      decisionLog.write(decision, monotonicNowMs());
    },
  });

  const loop = startCoreLoop({
    tickMs: () => dispatcher.liveJobs() > 0 ? BUSY_TICK_MS : IDLE_TICK_MS,
    tick(now) {
      staleInput.check();
      dispatcher.tick(now);
    },
    applyEffects,
  });

  function applyEffects(now: number): void {
    for (const effect of dispatcher.takeEffects(now)) applyEffect(effect, now);
  }

  function applyEffect(effect: DispatchEffect, now: number): void {
    switch (effect.kind) {
      case "send":
        streams.get(effect.session)?.send(effect.frame);
        return;
      case "close":
        closeStream(effect.session);
        return;
      case "answer":
        submissions.answered(effect.submission, effect.answer);
        return;
      case "log":
        decisionLog.write(effect.decision, now);
    }
  }

  function closeStream(session: SessionId): void {
    const stream = streams.get(session);
    streams.delete(session);
    stream?.close();
  }

  function acceptSideStream(stream: Stream<DispatchFrame>) {
    lastSessionId += 1;
    const session = lastSessionId;
    streams.set(session, stream);
    dispatcher.sessionOpened(session, monotonicNowMs());
    return {
      received(frame: WorkFrame) {
        dispatcher.frameReceived(session, frame, monotonicNowMs());
        loop.wake();
      },
      drained() {},
      closed(error?: Error) {
        if (error !== undefined) {
          log.error(
            "stream from a side closed: a frame could not be decoded or handled",
            { reason: error.message },
          );
        }
        streams.delete(session);
        dispatcher.sessionClosed(session, monotonicNowMs());
        loop.wake();
      },
    };
  }

  const server = await listenForStreams({
    address: options.listen,
    isFrame: isWorkFrame,
    accept: acceptSideStream,
  });
  if (server.isErr()) {
    loop.stop();
    return err(server.error);
  }

  const configuration: Configuration = watchConfiguration({
    store: options.store,
    document: options.document,
    log,
  });
  const membership = joinMembership({
    store: options.store,
    name: options.name,
    address: options.listen,
    log,
    changed(addresses) {
      entries = addresses;
      dispatcher.setEntries(addresses);
    },
  });

  const sharedRecord = syncSharedRecord({
    store: options.store,
    key: TIMEOUT_ESTIMATES_KEY,
    estimator: callerAgeEstimator,
    log,
    isWriter: () => entries[0] === options.listen,
  });

  /** Only after startup do enough callers reconnect for their age to matter. */
  function estimateAgeMs(queue: Queue, job: Job, now: number): number {
    if (now - startedAtMs < RECONNECT_WINDOW_MS) {
      return callerAgeEstimator.ageMs(queue.name, job.timeoutMs);
    }
    callerAgeEstimator.recordTimeout(queue.name, job.timeoutMs);
    return 0;
  }

  return ok({
    table: () => configuration.table(),
    submit: submissions.submit,
    isReady: () =>
      !isStopping && configuration.table() !== undefined &&
      dispatcher.hasOpenServer(),
    isStopping: () => isStopping,
    metricsText: metrics.text,
    async stop(graceMs, callers) {
      isStopping = true;
      dispatcher.setStopDeadline(monotonicNowMs() + graceMs);
      // Callers keep submitting on open connections until the load balancer has
      // detected that this entry is not ready.
      const propagationMs = Math.min(graceMs, READINESS_PROPAGATION_MS);
      await setTimeout(propagationMs);
      await callers.close(graceMs - propagationMs);
      await membership.leave();
      configuration.stop();
      sharedRecord.stop();
      loop.stop();
      server.value.close();
    },
  });
}
