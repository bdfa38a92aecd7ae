/**
 * An entry process: owns the streams, the timers and the store calls around
 * the entry's core, and answers callers' requests by number.
 */
import { v4 } from "uuid";
import {
  type Ask,
  createEntryCore,
  type EntryCore,
  type EntryEffect,
  markLate,
} from "@coltsfootreach/coordinate";
import {
  createConfigurationFeed,
  createConfigurationKeys,
} from "@coltsfootreach/configure";
import { excerptForSides } from "@coltsfootreach/inventory";
import { listenForLinks } from "@coltsfootreach/link";
import type { Log } from "@coltsfootreach/log";
import { createActionJournal } from "@coltsfootreach/manage";
import type { JobId, Member, Reply } from "@coltsfootreach/types";
import { createActLog } from "./act_log.ts";
import { createMembership, type Membership } from "./membership.ts";
import { createPeerStreams, type PeerStreams } from "./peer_streams.ts";
import { createSideStreams, type SideStreams } from "./side_streams.ts";
import type { Entry, EntryOptions } from "./types.ts";
import { createVersions, REFRESH_PAUSE_MS } from "./versions.ts";

const MS_PER_SECOND = 1000;

/** The store's clock may run this much faster than ours, as a share. */
const CLOCK_DRIFT = 0.01;

/** Renewals of a lease within its life. */
const RENEWALS_PER_LEASE = 2.5;

/** Digits that tell runs of one entry apart in the names of acts. */
const ID_DIGITS = 8;

/** How often waiting tasks are offered again. */
const PLACEMENT_MS = 5;

/** How often the core looks at deadlines, lost sides and takeovers. */
const TICK_MS = 20;

/** Given to requests that come on open connections after the entry has left. */
const LEFT: Reply = {
  kind: "refused",
  refusal: {
    code: "draining",
    verdict: "mayHaveRun",
    reason: "this entry has stopped; submit the same job to another entry",
    retryAfterMs: 0,
  },
};

/** How often an entry says what its takeovers wait for. */
const REPORT_MS = 5000;

/**
 * True when every member is heard and follows this table, so that sides are
 * confirmed without reads of the store.
 */
function hasQuietMajority(core: EntryCore): boolean {
  const { members } = core.table();
  return core.connectedPeers() === members.length - 1;
}

interface Pending {
  readonly job: JobId;
  readonly ask: Ask;
  readonly receivedAtMs: number;
  resolve(reply: Reply): void;
}

/** One membership: a core and what serves it. */
interface Run {
  readonly member: Member;
  readonly core: EntryCore;
  readonly sides: SideStreams;
  readonly peers: PeerStreams;
  readonly membership: Membership;
  readonly log: Log;
}

export async function startEntry(options: EntryOptions): Promise<Entry> {
  const { log } = options;
  const leaseMs = options.leaseSeconds * MS_PER_SECOND * (1 - CLOCK_DRIFT);
  const pending = new Map<number, Pending>();
  const { holder } = options;
  const journal = createActionJournal({
    incarnation: `${options.name}-${v4().slice(0, ID_DIGITS)}`,
    limit: options.maxActs,
  });
  const acts = createActLog(journal);
  const feed = createConfigurationFeed({
    store: options.store,
    keys: createConfigurationKeys(options.prefix),
    retryMs: REFRESH_PAUSE_MS,
    prepare: options.prepareConfiguration,
    learned(configuration, source) {
      const now = performance.now();
      versions.note(configuration.version);
      apply(run, run.core.configurationLearned(configuration, source, now));
    },
    failed(fault) {
      log.warn("the configuration cannot be read", { reason: fault.message });
    },
  });
  const versions = createVersions({ holder, refresh: () => feed.refresh() });
  let loggedVersion = holder.version();
  let requests = 0;
  let isReady = false;
  let isStopping = false;
  /** Set when this entry takes itself out of the table. */
  let isLeaving = false;
  let isFlushPlanned = false;
  let run: Run;

  const server = (await listenForLinks({
    address: options.listen,
    credentials: options.credentials?.server,
    acceptSide: (stream) => run.sides.accept(stream),
    acceptPeer: (stream) => run.peers.accept(stream),
  }))._unsafeUnwrap();

  function apply(own: Run, effects: readonly EntryEffect[]): void {
    if (own !== run) return;
    noteInForce(own);
    for (const effect of effects) {
      if (effect.kind === "toSide") {
        own.sides.push(effect.side, effect.message, effect.lazy);
      } else if (effect.kind === "toPeer") {
        own.peers.push(effect.entry, effect.message);
      } else if (effect.kind === "reply") {
        settle(effect.request, effect.reply);
      } else if (effect.kind === "removed") {
        return rejoin(own);
      } else if (effect.kind === "removeMembers") {
        void own.membership.remove(effect.incarnations);
      } else if (effect.kind === "actUndone") {
        acts.undo(effect);
      } else {
        acts.record(effect.act, own.log);
      }
    }
    planFlush();
  }

  /** Logs a version that has come into force, wherever it came from. */
  function noteInForce(own: Run): void {
    const configurationVersion = holder.version();
    if (configurationVersion === loggedVersion) return;
    loggedVersion = configurationVersion;
    own.log.info("configuration", { configurationVersion });
    own.membership.rulesChanged();
  }

  /** False after a removal until the entry has joined anew. */
  function isMember(): boolean {
    return run.core.table().version > 0;
  }

  function settle(request: number, reply: Reply): void {
    const waiting = pending.get(request);
    pending.delete(request);
    if (waiting === undefined) return;
    const spentMs = performance.now() - waiting.receivedAtMs;
    waiting.resolve(markLate(reply, waiting.ask, spentMs));
  }

  /** Collects the messages of one turn of the event loop into frames. */
  function planFlush(): void {
    if (isFlushPlanned) return;
    isFlushPlanned = true;
    setImmediate(() => {
      isFlushPlanned = false;
      const own = run;
      for (const effect of own.core.dispatch(performance.now())) {
        if (effect.kind === "toSide") {
          own.sides.push(effect.side, effect.message, effect.lazy);
        }
      }
      own.sides.flush();
      own.peers.flush();
    });
  }

  function followTable(own: Run, effects: readonly EntryEffect[]): void {
    own.peers.follow(
      own.core.table().members.filter((member) =>
        member.incarnation !== own.member.incarnation
      ),
    );
    apply(own, effects);
  }

  function createRun(): Run {
    const incarnation = v4();
    const log = options.log.with({ incarnation });
    const member: Member = {
      incarnation,
      name: options.name,
      dataCentre: options.dataCentre,
      address: options.advertise.replace(/:0$/, `:${server.port}`),
      draining: false,
    };
    const planner = options.createPlanner({
      slots: () => core.slotShare(),
      entries: () => core.table().members.length,
    });
    const core: EntryCore = createEntryCore({
      member,
      records: options.records,
      ...planner,
      wallMs: () => Date.now(),
      holder,
      excerptForSides,
      freshnessMs: options.freshnessMs,
      sideLostMs: options.sideLostMs,
      doubtMs: options.doubtMs,
      maxHeld: options.maxHeld,
    });
    const sides = createSideStreams({
      heartbeatMs: options.heartbeatMs,
      silentMs: options.sideLostMs,
      header: (side) => ({
        entry: incarnation,
        tableVersion: core.table().version,
        configurationVersion: holder.version(),
        ...core.stamps(side),
      }),
      received(frame) {
        versions.heard(frame.configurationVersion);
        apply(own, core.sideFrame(frame, performance.now()));
      },
      closed: (side) => core.sideClosed(side),
    });
    const peers = createPeerStreams({
      me: incarnation,
      credentials: options.credentials?.client,
      heartbeatMs: options.heartbeatMs,
      silentMs: options.sideLostMs,
      header: () => ({
        entry: incarnation,
        tableVersion: core.table().version,
        configurationVersion: holder.version(),
        demands: planner.limits.demands(performance.now()),
      }),
      up: (entry) => apply(own, core.peerUp(entry, performance.now())),
      down: (entry) => core.peerDown(entry),
      received(frame) {
        versions.heard(frame.configurationVersion);
        followTable(own, core.peerFrame(frame, performance.now()));
      },
      refused: (entry) => void own.membership.removeEnded(entry),
    });
    const membership = createMembership({
      store: options.store,
      prefix: options.prefix,
      member,
      leaseSeconds: options.leaseSeconds,
      renewMs: (options.leaseSeconds * MS_PER_SECOND) / RENEWALS_PER_LEASE,
      isQuiet: () => hasQuietMajority(core),
      log,
      leaseHeld: (askedAtMs) => core.leaseHeld(askedAtMs + leaseMs),
      beginRead: () => core.beginTableRead(),
      tableRead: (table, token) =>
        followTable(own, core.tableRead({ table, token }, performance.now())),
      tableLearned: (table) =>
        followTable(own, core.tableLearned(table, performance.now())),
      configurationChanged(found) {
        if (found === undefined) feed.refresh();
        else feed.offer(found);
      },
      isTakeoverHeld: () =>
        core.configuration.rules().held.includes("takeOver"),
    });
    const own: Run = { member, core, sides, peers, membership, log };
    return own;
  }

  function closeRun(own: Run): void {
    own.membership.close();
    own.sides.close();
    own.peers.close();
  }

  /** Others removed this run: joins anew and asks again what was asked. */
  function rejoin(own: Run): void {
    if (isLeaving) return;
    log.warn("removed from the table of entries; joining anew");
    run = createRun();
    closeRun(own);
    void run.membership.join();
    for (const [request, { job, ask, receivedAtMs }] of pending) {
      apply(run, run.core.request({ request, job, ask }, receivedAtMs));
    }
  }

  const report = setInterval(() => {
    for (const change of run.core.settlement.openChanges()) {
      const { tableVersion, entries, sides } = change;
      log.warn("keys wait for a change of the table to settle", {
        tableVersion,
        reason: `entries: ${entries.join(" ")}; sides: ${sides.join(" ")}`,
      });
    }
  }, REPORT_MS);

  /** Tasks may wait for a time and not for an event. */
  const placementTimer = setInterval(() => {
    if (run.core.hasWaiting()) planFlush();
  }, PLACEMENT_MS);

  const timer = setInterval(() => {
    const now = { nowMs: performance.now(), wallMs: Date.now() };
    apply(run, run.core.tick(now));
  }, TICK_MS);

  /** True while jobs may come here that another entry could take. */
  function ownsKeys(): boolean {
    const me = run.member.incarnation;
    const owners = run.core.table().members.filter((one) => !one.draining);
    // The last entry keeps its keys, since nobody could take them.
    return owners.length > 1 && owners.some((one) => one.incarnation === me);
  }

  /** True when nothing of a caller or of a job is left here. */
  async function drain(): Promise<boolean> {
    const untilMs = performance.now() + options.drainMs;
    while (performance.now() < untilMs) {
      if (ownsKeys()) await run.membership.drain();
      else if (pending.size === 0 && run.core.isIdle()) return true;
      await new Promise((wake) => setTimeout(wake, TICK_MS));
    }
    return false;
  }

  log.info("entry starting");
  run = createRun();
  await run.membership.join();
  isReady = true;

  return {
    request(job, ask) {
      if (isLeaving) return Promise.resolve(LEFT);
      requests += 1;
      const request = requests;
      return new Promise((resolve) => {
        const receivedAtMs = performance.now();
        pending.set(request, { job, ask, receivedAtMs, resolve });
        apply(run, run.core.request({ request, job, ask }, receivedAtMs));
      });
    },
    incarnation: () => run.member.incarnation,
    isReady: () =>
      isReady && !isStopping && isMember() && !versions.isLagging(),
    core: () => run.core,
    journal,
    newestVersion: () => versions.newest(),
    storeStatus: () => run.membership.storeStatus(),
    counts: () => ({
      sides: run.sides.counts(),
      peers: run.peers.counts(),
      store: options.store.calls(),
    }),
    async stop() {
      isStopping = true;
      log.info("draining");
      const isDrained = await drain();
      isLeaving = true;
      // Others may trust a member that leaves to have handed over everything.
      if (isDrained) await run.membership.leave();
      else log.warn("leaving without having handed over everything");
      clearInterval(timer);
      clearInterval(placementTimer);
      clearInterval(report);
      feed.close();
      closeRun(run);
      server.close();
      log.info("entry stopped");
    },
  };
}
