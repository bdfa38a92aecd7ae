/**
 * A simulated entry process: the real core, with fake streams, timers and
 * membership around it.
 */
import {
  type Ask,
  createEntryCore,
  type EntryCore,
  type EntryEffect,
  type EntryOptions,
  markLate,
  NO_LIMITS,
} from "@coltsfootreach/coordinate";
import { createConfigurationHolder } from "@coltsfootreach/configure";
import { excerptForSides, parseConfiguration } from "@coltsfootreach/inventory";
import { createTenantQueue } from "@coltsfootreach/limit";
import { createLeastOutstanding } from "@coltsfootreach/place";
import type {
  EntryFrame,
  EntryMessage,
  JobId,
  Member,
  PeerFrame,
  PeerMessage,
  Reply,
  SideFrame,
} from "@coltsfootreach/types";
import type { Host } from "./host.ts";
import {
  createFakeMembership,
  type FakeMembership,
} from "./membership_fake.ts";
import type { End, Listener, Network } from "./network.ts";
import { type Limits, START_WALL_MS } from "./settings.ts";
import type { TableStore } from "./table_store.ts";

export interface EntryProcessOptions {
  readonly host: Host;
  readonly network: Network;
  readonly store: TableStore;
  readonly limits: Limits;
  /** Unix time in milliseconds. */
  wallMs(): number;
  random(): number;
  nextIncarnation(): string;
  entryAt(address: string): EntryProcess | undefined;
  /** A run of the entry follows this version now. */
  tableSeen(incarnation: string, version: number): void;
  createCore?: ((options: EntryOptions) => EntryCore) | undefined;
}

export interface EntryProcess {
  readonly host: Host;
  request(job: JobId, ask: Ask, replied: (reply: Reply) => void): void;
  acceptSide(end: End): Listener;
  acceptPeer(end: End): Listener;
  incarnation(): string;
  core(): EntryCore;
  isReady(): boolean;
  drain(left: () => void): void;
}

interface Pending {
  readonly job: JobId;
  readonly ask: Ask;
  readonly receivedAtMs: number;
  readonly replied: (reply: Reply) => void;
}

interface SideStream {
  readonly incarnation: string;
  readonly end: End;
  due: EntryMessage[];
  isDue: boolean;
  ack: number;
  sentAtMs: number;
  heardAtMs: number;
}

interface PeerStream {
  readonly entry: string;
  readonly end: End;
  due: PeerMessage[];
  sentAtMs: number;
  heardAtMs: number;
}

/** One membership: a core and what serves it. */
interface Run {
  readonly member: Member;
  readonly core: EntryCore;
  readonly membership: FakeMembership;
  readonly sides: Map<string, SideStream>;
  readonly peers: Map<string, PeerStream>;
  readonly dials: Set<string>;
  sequence: number;
  isClosed: boolean;
}

export function createEntryProcess(options: EntryProcessOptions): EntryProcess {
  const { host, network, limits } = options;
  const pending = new Map<number, Pending>();
  let requests = 0;
  let isFlushPlanned = false;
  let isStopping = false;
  let isLeaving = false;
  const holder = createConfigurationHolder({
    parse: (configuration) => parseConfiguration(configuration),
  });
  let run: Run;

  function apply(own: Run, effects: readonly EntryEffect[]): void {
    if (own !== run) return;
    for (const effect of effects) {
      if (effect.kind === "toSide") pushToSide(own, effect);
      else if (effect.kind === "toPeer") {
        own.peers.get(effect.entry)?.due.push(effect.message);
      } else if (effect.kind === "reply") settle(effect.request, effect.reply);
      else if (effect.kind === "removed") return rejoin(own);
    }
    planFlush();
  }

  function pushToSide(
    own: Run,
    effect: Extract<EntryEffect, { kind: "toSide" }>,
  ): void {
    const stream = own.sides.get(effect.side);
    if (stream === undefined) return;
    stream.due.push(effect.message);
    if (!effect.lazy) stream.isDue = true;
  }

  function settle(request: number, reply: Reply): void {
    const waiting = pending.get(request);
    pending.delete(request);
    if (waiting === undefined) return;
    const spentMs = host.nowMs() - waiting.receivedAtMs;
    waiting.replied(markLate(reply, waiting.ask, spentMs));
  }

  function planFlush(): void {
    if (isFlushPlanned) return;
    isFlushPlanned = true;
    host.after(0, () => {
      isFlushPlanned = false;
      const own = run;
      for (const effect of own.core.dispatch(host.nowMs())) {
        if (effect.kind === "toSide") pushToSide(own, effect);
      }
      for (const stream of own.sides.values()) {
        if (stream.isDue) sendToSide(own, stream);
      }
      for (const stream of own.peers.values()) {
        if (stream.due.length > 0) sendToPeer(own, stream);
      }
    });
  }

  function sendToSide(own: Run, stream: SideStream): void {
    own.sequence += 1;
    const frame: EntryFrame = {
      entry: own.member.incarnation,
      tableVersion: own.core.table().version,
      configurationVersion: 0,
      ...own.core.stamps(stream.incarnation),
      sequence: own.sequence,
      ack: stream.ack,
      messages: stream.due,
    };
    stream.due = [];
    stream.isDue = false;
    stream.sentAtMs = host.nowMs();
    stream.end.send(frame);
  }

  function sendToPeer(own: Run, stream: PeerStream): void {
    const frame: PeerFrame = {
      entry: own.member.incarnation,
      tableVersion: own.core.table().version,
      configurationVersion: 0,
      messages: stream.due,
    };
    stream.due = [];
    stream.sentAtMs = host.nowMs();
    stream.end.send(frame);
  }

  function closeSide(own: Run, stream: SideStream): void {
    stream.end.close();
    if (own.sides.get(stream.incarnation) !== stream) return;
    own.sides.delete(stream.incarnation);
    own.core.sideClosed(stream.incarnation);
  }

  function acceptSide(end: End): Listener {
    const own = run;
    let stream: SideStream | undefined;

    function open(incarnation: string): SideStream {
      const earlier = own.sides.get(incarnation);
      if (earlier !== undefined) closeSide(own, earlier);
      const nowMs = host.nowMs();
      const opened: SideStream = {
        incarnation,
        end,
        due: [],
        isDue: false,
        ack: 0,
        sentAtMs: 0,
        heardAtMs: nowMs,
      };
      own.sides.set(incarnation, opened);
      return opened;
    }

    return {
      received(received) {
        const frame = received as SideFrame;
        if (own !== run) return end.close();
        stream ??= open(frame.incarnation);
        stream.heardAtMs = host.nowMs();
        stream.ack = frame.sequence;
        apply(own, own.core.sideFrame(frame, host.nowMs()));
      },
      closed() {
        if (stream !== undefined) closeSide(own, stream);
      },
    };
  }

  function beginPeer(own: Run, entry: string, end: End): PeerStream {
    const earlier = own.peers.get(entry);
    if (earlier !== undefined) endPeer(own, earlier);
    const nowMs = host.nowMs();
    const stream: PeerStream = {
      entry,
      end,
      due: [],
      sentAtMs: nowMs,
      heardAtMs: nowMs,
    };
    own.peers.set(entry, stream);
    return stream;
  }

  function endPeer(own: Run, stream: PeerStream): void {
    stream.end.close();
    if (own.peers.get(stream.entry) !== stream) return;
    own.peers.delete(stream.entry);
    own.core.peerDown(stream.entry);
    planDial(own, stream.entry, limits.redialMs);
  }

  function planDial(own: Run, entry: string, afterMs: number): void {
    const { members } = own.core.table();
    const isMember = members.some((one) => one.incarnation === entry);
    const dialsHere = own.member.incarnation > entry;
    if (own.isClosed || !isMember || !dialsHere || own.dials.has(entry)) return;
    own.dials.add(entry);
    host.after(afterMs, () => dial(own, entry));
  }

  function dial(own: Run, entry: string): void {
    own.dials.delete(entry);
    const member = own.core.table().members.find((one) =>
      one.incarnation === entry
    );
    if (own.isClosed || member === undefined || own.peers.has(entry)) return;
    const target = options.entryAt(member.address);
    if (target === undefined) return planDial(own, entry, limits.redialMs);
    const dialled = network.dial(
      host,
      target.host,
      (end) => target.acceptPeer(end),
    );
    const stream = beginPeer(own, entry, dialled.end);
    dialled.listen({
      received(frame) {
        if (own.peers.get(entry) === stream) {
          takePeer(own, stream, frame as PeerFrame);
        }
      },
      closed: () => endPeer(own, stream),
    });
    sendToPeer(own, stream);
    apply(own, own.core.peerUp(entry, host.nowMs()));
  }

  function takePeer(own: Run, stream: PeerStream, frame: PeerFrame): void {
    stream.heardAtMs = host.nowMs();
    const effects = own.core.peerFrame(frame, host.nowMs());
    followMembers(own);
    apply(own, effects);
  }

  function acceptPeer(end: End): Listener {
    const own = run;
    let stream: PeerStream | undefined;
    return {
      received(received) {
        const frame = received as PeerFrame;
        if (own !== run) return end.close();
        if (stream === undefined) {
          stream = beginPeer(own, frame.entry, end);
          apply(own, own.core.peerUp(frame.entry, host.nowMs()));
        }
        if (own.peers.get(stream.entry) === stream) {
          takePeer(own, stream, frame);
        }
      },
      closed() {
        if (stream !== undefined) endPeer(own, stream);
      },
    };
  }

  function followMembers(own: Run): void {
    const me = own.member.incarnation;
    options.tableSeen(me, own.core.table().version);
    const members = own.core.table().members.map((one) => one.incarnation);
    for (const stream of [...own.peers.values()]) {
      if (!members.includes(stream.entry)) endPeer(own, stream);
    }
    for (const entry of members) {
      if (entry !== me && !own.peers.has(entry)) planDial(own, entry, 0);
    }
  }

  function createRun(): Run {
    const incarnation = options.nextIncarnation();
    const member: Member = {
      incarnation,
      name: host.name,
      dataCentre: "d1",
      address: host.name,
      draining: false,
    };
    const core = (options.createCore ?? createEntryCore)({
      member,
      records: limits,
      queue: createTenantQueue(),
      policy: createLeastOutstanding(options.random),
      limits: NO_LIMITS,
      wallMs: options.wallMs,
      freshnessMs: limits.freshnessMs,
      sideLostMs: limits.sideLostMs,
      doubtMs: limits.doubtMs,
      maxHeld: limits.maxHeld,
      holder,
      excerptForSides,
    });
    const membership = createFakeMembership({
      host,
      store: options.store,
      limits,
      member,
      leaseHeld: (untilMs) => core.leaseHeld(untilMs),
      isQuiet: () => core.connectedPeers() === core.table().members.length - 1,
      beginRead: () => core.beginTableRead(),
      tableRead(table, token) {
        const effects = core.tableRead({ table, token }, host.nowMs());
        followMembers(own);
        apply(own, effects);
      },
      tableLearned(table) {
        const effects = core.tableLearned(table, host.nowMs());
        followMembers(own);
        apply(own, effects);
      },
    });
    const own: Run = {
      member,
      core,
      membership,
      sides: new Map(),
      peers: new Map(),
      dials: new Set(),
      sequence: 0,
      isClosed: false,
    };
    return own;
  }

  function closeRun(own: Run): void {
    own.isClosed = true;
    own.membership.close();
    for (const stream of [...own.sides.values()]) closeSide(own, stream);
    for (const stream of [...own.peers.values()]) endPeer(own, stream);
  }

  function rejoin(own: Run): void {
    if (isLeaving) return;
    run = createRun();
    closeRun(own);
    run.membership.join();
    for (const [request, { job, ask, receivedAtMs }] of pending) {
      apply(run, run.core.request({ request, job, ask }, receivedAtMs));
    }
  }

  run = createRun();
  run.membership.join();
  host.every(limits.tickMs, () => {
    const now = { nowMs: host.nowMs(), wallMs: options.wallMs() };
    apply(run, run.core.tick(now));
  });
  host.every(limits.heartbeatMs / 4, () => {
    const own = run;
    const nowMs = host.nowMs();
    for (const stream of [...own.sides.values()]) {
      if (nowMs - stream.heardAtMs > limits.sideLostMs) closeSide(own, stream);
      else if (nowMs - stream.sentAtMs >= limits.heartbeatMs) {
        sendToSide(own, stream);
      }
    }
    for (const stream of [...own.peers.values()]) {
      if (nowMs - stream.heardAtMs > limits.sideLostMs) endPeer(own, stream);
      else if (nowMs - stream.sentAtMs >= limits.heartbeatMs) {
        sendToPeer(own, stream);
      }
    }
  });

  function ownsKeys(): boolean {
    const me = run.member.incarnation;
    const owners = run.core.table().members.filter((one) => !one.draining);
    return owners.length > 1 && owners.some((one) => one.incarnation === me);
  }

  function drain(untilMs: number, done: (isDrained: boolean) => void): void {
    if (host.nowMs() >= untilMs) return done(false);
    const again = () => host.after(limits.tickMs, () => drain(untilMs, done));
    if (ownsKeys()) run.membership.drain(again);
    else if (pending.size === 0 && run.core.isIdle()) done(true);
    else again();
  }

  function leave(isDrained: boolean, left: () => void): void {
    const close = () => {
      closeRun(run);
      left();
    };
    isLeaving = true;
    if (isDrained) run.membership.leave(close);
    else close();
  }

  return {
    host,
    request(job, ask, replied) {
      requests += 1;
      const request = requests;
      const receivedAtMs = host.nowMs();
      pending.set(request, { job, ask, receivedAtMs, replied });
      apply(run, run.core.request({ request, job, ask }, receivedAtMs));
    },
    acceptSide,
    acceptPeer,
    incarnation: () => run.member.incarnation,
    core: () => run.core,
    isReady: () => run.membership.isJoined() && !isStopping,
    drain(left) {
      isStopping = true;
      const untilMs = host.nowMs() + limits.drainMs;
      drain(untilMs, (isDrained) => leave(isDrained, left));
    },
  };
}

/** Unix time at an instant of the simulation. */
export function wallAt(simulatedMs: number): number {
  return START_WALL_MS + simulatedMs;
}
