/** An entry: takes jobs, and holds the streams from sides. */
import { setTimeout } from "node:timers/promises";
import { ListenFailed } from "@coltsfootreach/errors";
import {
  type Answer,
  createDispatcher,
  createPatience,
  type DispatchEffect,
  type SessionId,
  type SubmissionId,
} from "@coltsfootreach/dispatch";
import type { Log } from "@coltsfootreach/log";
import {
  BUSY_TICK_MS,
  type DispatchFrame,
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
import { type Configuration, followConfiguration } from "./configuration.ts";
import { createDecisionLog } from "./decision_log.ts";
import { runLoop, steadyNow } from "./loop.ts";
import { createEntryMetrics } from "./entry_metrics.ts";
import { joinEntries } from "./membership.ts";
import type { ConfigurationDocument } from "./ports.ts";
import { keepRecord } from "./shared_record.ts";

/** Time between ticks while nothing runs. */
const IDLE_TICK_MS = 200;

/** Where the store keeps how much time callers usually have. */
const PATIENCE_KEY = "shared/patience";

/** Time after a start in which callers come back whose connections broke. */
const RETURN_MS = 6000;

/** The balancer looks once a second and wants to see two misses. */
const UNREADY_MS = 2500;

export interface EntryOptions {
  readonly name: string;
  /** Where to listen for sides, as `IP:port`. */
  readonly listen: string;
  readonly store: Store;
  readonly document: ConfigurationDocument;
  readonly timing: Timing;
  /** A task takes this much longer away from the rack with its data. */
  readonly remoteFactor: number;
  readonly log: Log;
}

/** A job that was handed in. */
export interface PendingAnswer {
  /** Resolves once; never when the job was abandoned. */
  readonly answer: Promise<Answer>;
  /** The caller has left. */
  abandon(): void;
}

/** The connections on which callers hand jobs in. */
export interface CallerConnections {
  /**
   * Takes no new connections, closes idle ones, and waits until the others have
   * got their answers, at most so long.
   */
  close(longestMs: number): Promise<void>;
}

export interface EntryProcess {
  table(): QueueTable | undefined;
  submit(queue: Queue, job: Job): PendingAnswer;
  /** True while the balancer should send callers here. */
  isReady(): boolean;
  /** True once `stop` was called: callers should turn elsewhere. */
  isStopping(): boolean;
  /** Counters and response times, as text for a collector. */
  metricsText(): string;
  /** Serves callers until their connections are closed, and leaves. */
  stop(graceMs: number, callers: CallerConnections): Promise<void>;
}

export async function startEntry(
  options: EntryOptions,
): Promise<Result<EntryProcess, ListenFailed>> {
  const { log } = options;
  const decisions = createDecisionLog(log);
  const patience = createPatience();
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
    logLinesDropped: decisions.dropped(),
  }));
  const startedAt = steadyNow();
  const streams = new Map<SessionId, Stream<DispatchFrame>>();
  const answers = new Map<SubmissionId, (answer: Answer) => void>();
  /** Addresses, in an order that all entries share. */
  let entries: readonly string[] = [];
  let lastSession = 0;
  let lastSubmission = 0;
  let isStopping = false;

  const loop = runLoop({
    tickMs: () => dispatcher.liveJobs() > 0 ? BUSY_TICK_MS : IDLE_TICK_MS,
    tick: dispatcher.tick,
    carryOut,
  });

  function carryOut(now: number): void {
    for (const effect of dispatcher.takeEffects(now)) perform(effect, now);
  }

  function perform(effect: DispatchEffect, now: number): void {
    switch (effect.kind) {
      case "send":
        streams.get(effect.session)?.send(effect.frame);
        return;
      case "close":
        closeStream(effect.session);
        return;
      case "answer":
        answers.get(effect.submission)?.(effect.answer);
        answers.delete(effect.submission);
        return;
      case "log":
        decisions.write(effect.decision, now);
    }
  }

  function closeStream(session: SessionId): void {
    const stream = streams.get(session);
    streams.delete(session);
    stream?.close();
  }

  function acceptWork(stream: Stream<DispatchFrame>) {
    lastSession += 1;
    const session = lastSession;
    streams.set(session, stream);
    dispatcher.sessionOpened(session, steadyNow());
    return {
      received(frame: WorkFrame) {
        dispatcher.sessionSent(session, frame, steadyNow());
        loop.poke();
      },
      drained() {},
      closed(fault?: Error) {
        if (fault !== undefined) {
          log.error("stream ended", { reason: fault.message });
        }
        streams.delete(session);
        dispatcher.sessionClosed(session, steadyNow());
        loop.poke();
      },
    };
  }

  const server = await listenForStreams({
    address: options.listen,
    isFrame: isWorkFrame,
    accept: acceptWork,
  });
  if (server.isErr()) {
    loop.stop();
    return err(server.error);
  }

  const configuration: Configuration = followConfiguration({
    store: options.store,
    document: options.document,
    log,
  });
  const membership = joinEntries({
    store: options.store,
    name: options.name,
    address: options.listen,
    log,
    changed(addresses) {
      entries = addresses;
      dispatcher.setEntries(addresses);
    },
  });

  const record = keepRecord({
    store: options.store,
    key: PATIENCE_KEY,
    learner: patience,
    log,
    isWriter: () => entries[0] === options.listen,
  });

  /** Only after a start do so many come back that their age matters. */
  function ageOf(queue: Queue, job: Job, now: number): number {
    if (now - startedAt < RETURN_MS) {
      return patience.ageMs(queue.name, job.timeoutMs);
    }
    patience.learn(queue.name, job.timeoutMs);
    return 0;
  }

  function submit(queue: Queue, job: Job): PendingAnswer {
    lastSubmission += 1;
    const id = lastSubmission;
    const configurationVersion = configuration.table()?.version ?? 0;
    const since = steadyNow();
    const answer = new Promise<Answer>((resolve) =>
      answers.set(id, (to) => {
        const responseMs = steadyNow() - since;
        metrics.answered({ queue: queue.name, answer: to, responseMs });
        resolve(to);
      })
    );
    const ageMs = ageOf(queue, job, since);
    dispatcher.submit({ id, job, queue, configurationVersion, ageMs }, since);
    loop.poke();
    return {
      answer,
      abandon() {
        if (!answers.delete(id)) return;
        dispatcher.abandon(id, steadyNow());
        loop.poke();
      },
    };
  }

  return ok({
    table: () => configuration.table(),
    submit,
    isReady: () =>
      !isStopping && configuration.table() !== undefined &&
      dispatcher.hasOpenServer(),
    isStopping: () => isStopping,
    metricsText: metrics.text,
    async stop(graceMs, callers) {
      isStopping = true;
      dispatcher.stopBy(steadyNow() + graceMs);
      // Callers keep coming on open connections until the balancer has seen
      // that this entry is not ready.
      const unreadyMs = Math.min(graceMs, UNREADY_MS);
      await setTimeout(unreadyMs);
      await callers.close(graceMs - unreadyMs);
      await membership.leave();
      configuration.stop();
      record.stop();
      loop.stop();
      server.value.close();
    },
  });
}
