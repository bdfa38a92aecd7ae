/** Simulated entries, sides and backend servers, and the streams between them. */
import {
  type Answer,
  createDispatcher,
  type DispatchEffect,
  type Dispatcher,
  type LateReserve,
  type SessionId,
  type SubmissionId,
} from "@coltsfootreach/dispatch";
import {
  type Announcement,
  type DispatchFrame,
  type Job,
  MIN_CLOCK_RATE,
  type Queue,
  type Resources,
  type RunRef,
  type ServerReport,
  type Timing,
  type WorkFrame,
} from "@coltsfootreach/run";
import { SAMPLE_BOUNDS, SAMPLE_REMOTE_FACTOR } from "@coltsfootreach/standin";
import {
  createWorkerCore,
  type OwnerId,
  type WorkerCore,
  type WorkerEffect,
} from "@coltsfootreach/worker";
import type { Checker } from "./checker.ts";
import type { SimulatedClock } from "./clock.ts";
import type { Random } from "./random.ts";
import {
  createServerStandin,
  type ServerStandin,
  type TaskProfile,
} from "./server_standin.ts";
import { createNodes, type Node } from "./node.ts";
import { createServerConnection } from "./server_connection.ts";
import { createTrafficCounter, type Traffic } from "./traffic.ts";
import { type Channel, createChannel, type NetworkPath } from "./channel.ts";

/** Downtime of a server that restarts before its failure is detected. */
const BRIEF_DOWNTIME_MS = 5;

const ANNOUNCE_INTERVAL_MS = 1500;

const REDIAL_DELAY_MS = 100;

/** Every third server has a slow clock. */
const SLOW_CLOCK_EVERY = 3;

export interface FleetOptions {
  readonly clock: SimulatedClock;
  readonly random: Random;
  readonly checker: Checker;
  readonly timing: Timing;
  readonly entries: number;
  readonly sides: number;
  readonly capacity: Resources;
  /** Ratio of run time to work; servers are assigned the values in turn. */
  readonly slowness: readonly number[];
  /** Default: the dispatcher's own. */
  readonly lateReserve?: LateReserve | undefined;
  profileOf(ref: RunRef): TaskProfile;
  trace(what: string): void;
}

export interface SubmissionHandle {
  /** The caller disconnects. */
  abandon(): void;
}

/** The caller's end of a submission. */
export interface SubmissionCaller {
  /** How long the caller waited before; default 0. */
  readonly ageMs?: number | undefined;
  answered(answer: Answer): void;
  /** The connection to the entry broke. */
  broken(): void;
}

export interface SimulatedEntry {
  isUp: boolean;
  frozenUntil: number;
  /** Returns undefined if the entry is down. */
  submit(
    queue: Queue,
    job: Job,
    caller: SubmissionCaller,
  ): SubmissionHandle | undefined;
  kill(downMs: number): void;
  liveJobs(): number;
}

export interface SimulatedSide {
  isUp: boolean;
  frozenUntil: number;
  /** Share of the side's requests to its server that get no response. */
  responseLossRate: number;
  server(): ServerStandin;
  /** Whether the side told entries that its server accepts runs. */
  isServerOpen(): boolean;
  kill(downMs: number): void;
  crashServer(downMs: number): void;
  /** The server announces that it is draining, and shuts down after `leaveMs`. */
  drainServer(leaveMs: number): void;
}

export interface Fleet {
  readonly traffic: Readonly<Traffic>;
  readonly entries: readonly SimulatedEntry[];
  readonly sides: readonly SimulatedSide[];
  /** The network path between an entry and a side in one direction. */
  networkPath(entry: number, side: number, toSide: boolean): NetworkPath;
  resetStream(entry: number, side: number): void;
}

interface EntryNode extends SimulatedEntry, Node {
  dispatcher: Dispatcher;
  readonly sessions: Map<SessionId, Stream>;
  scheduleEffects(): void;
}

interface SideNode extends SimulatedSide, Node {
  core: WorkerCore;
  readonly owners: Map<OwnerId, Stream>;
  scheduleEffects(): void;
}

interface Stream {
  readonly entry: number;
  readonly side: number;
  readonly session: SessionId;
  readonly owner: OwnerId;
  readonly toSide: Channel<DispatchFrame>;
  readonly toEntry: Channel<WorkFrame>;
  isClosed: boolean;
}

export function createFleet(options: FleetOptions): Fleet {
  const { clock, random, checker } = options;
  const {
    canRun,
    runWhenUnfrozen,
    createEffectScheduler,
    tickEvery,
  } = createNodes(clock);
  const networkPaths = new Map<string, NetworkPath>();
  const counter = createTrafficCounter();
  let lastId = 0;

  function networkPath(
    entry: number,
    side: number,
    toSide: boolean,
  ): NetworkPath {
    const key = `${entry}/${side}/${toSide}`;
    const path = networkPaths.get(key) ?? { isPartitioned: false };
    networkPaths.set(key, path);
    return path;
  }

  const entries: EntryNode[] = [];
  const sides: SideNode[] = [];
  for (let index = 0; index < options.entries; index += 1) {
    entries.push(createEntryNode(index));
  }
  for (let index = 0; index < options.sides; index += 1) {
    sides.push(createSideNode(index));
  }
  for (let entry = 0; entry < options.entries; entry += 1) {
    for (let side = 0; side < options.sides; side += 1) dial(entry, side);
  }

  // --- Entries ---

  function createEntryNode(index: number): EntryNode {
    const sessions = new Map<SessionId, Stream>();
    const callers = new Map<SubmissionId, SubmissionCaller>();
    const scheduleEffects = createEffectScheduler(() => node, applyEffects);
    const node: EntryNode = {
      isUp: true,
      frozenUntil: 0,
      incarnation: 0,
      dispatcher: makeDispatcher(),
      sessions,
      scheduleEffects,
      submit(queue, job, caller) {
        if (!node.isUp) return undefined;
        lastId += 1;
        const id = lastId;
        callers.set(id, caller);
        const submission = {
          id,
          job,
          queue,
          configurationVersion: 1,
          ageMs: caller.ageMs ?? 0,
        };
        runWhenUnfrozen(node, () => {
          node.dispatcher.submit(submission, clock.now());
          scheduleEffects();
        });
        return {
          abandon() {
            if (!callers.delete(id)) return;
            runWhenUnfrozen(node, () => {
              node.dispatcher.abandon(id, clock.now());
              scheduleEffects();
            });
          },
        };
      },
      kill(downMs) {
        if (!node.isUp) return;
        node.isUp = false;
        node.incarnation += 1;
        for (const stream of [...sessions.values()]) closeStream(stream);
        const broken = [...callers.values()];
        callers.clear();
        for (const caller of broken) caller.broken();
        clock.after(downMs, () => {
          node.isUp = true;
          node.frozenUntil = 0;
          node.dispatcher = makeDispatcher();
        });
      },
      liveJobs: () => node.dispatcher.liveJobs(),
    };

    function makeDispatcher(): Dispatcher {
      lastId += 1;
      return createDispatcher({
        entry: `entry-${index}-${lastId}`,
        timing: options.timing,
        remoteFactor: SAMPLE_REMOTE_FACTOR,
        lateReserve: options.lateReserve,
        random: random.next,
      });
    }

    function applyEffects(): void {
      for (const effect of node.dispatcher.takeEffects(clock.now())) {
        applyEffect(effect);
      }
    }

    function applyEffect(effect: DispatchEffect): void {
      if (effect.kind === "send") {
        counter.entrySent(effect.frame);
        sessions.get(effect.session)?.toSide.send(effect.frame);
      } else if (effect.kind === "close") {
        const stream = sessions.get(effect.session);
        if (stream !== undefined) closeStream(stream);
      } else if (effect.kind === "answer") {
        const caller = callers.get(effect.submission);
        callers.delete(effect.submission);
        caller?.answered(effect.answer);
      } else {
        options.trace(`entry ${index} ${JSON.stringify(effect.decision)}`);
      }
    }

    tickEvery(node, () => {
      node.dispatcher.tick(clock.now());
      scheduleEffects();
    });
    return node;
  }

  // --- Sides ---

  function createSideNode(index: number): SideNode {
    const owners = new Map<OwnerId, Stream>();
    const scheduleEffects = createEffectScheduler(() => node, applyEffects);
    const connection = createServerConnection({
      clock,
      random,
      runWhenUnfrozen,
      node: () => node,
      scheduleEffects,
    });
    let serverId = "";
    let server = makeServer();
    let sequence = 0;
    let isDraining = false;
    let lastReport: ServerReport | undefined;
    const node: SideNode = {
      isUp: true,
      frozenUntil: 0,
      incarnation: 0,
      responseLossRate: 0,
      core: makeCore(),
      owners,
      scheduleEffects,
      server: () => server,
      isServerOpen: () => lastReport?.isOpen ?? false,
      kill(downMs) {
        if (!node.isUp) return;
        node.isUp = false;
        node.incarnation += 1;
        lastReport = undefined;
        for (const stream of [...owners.values()]) closeStream(stream);
        clock.after(downMs, () => {
          node.isUp = true;
          node.frozenUntil = 0;
          node.core = makeCore();
          for (let entry = 0; entry < entries.length; entry += 1) {
            dial(entry, index);
          }
        });
      },
      crashServer(downMs) {
        if (!server.isUp()) return;
        const isBrief = random.chance(0.3);
        server.crash();
        clock.after(isBrief ? BRIEF_DOWNTIME_MS : downMs, () => {
          server = makeServer();
          sequence = 0;
          isDraining = false;
          announce();
        });
      },
      drainServer(leaveMs) {
        if (isDraining || !server.isUp()) return;
        isDraining = true;
        announce();
        const drainingServer = server;
        clock.after(leaveMs, () => {
          if (server !== drainingServer || !drainingServer.isUp()) return;
          runWhenUnfrozen(node, () => {
            node.core.left(drainingServer.id);
            scheduleEffects();
          });
          node.crashServer(1000);
        });
      },
    };

    function makeCore(): WorkerCore {
      return createWorkerCore({
        side: `side-${index}`,
        dataCentre: "a",
        timing: options.timing,
        initialFencingToken: Math.floor(clock.now()) + 1,
      });
    }

    function makeServer(): ServerStandin {
      lastId += 1;
      // A server may keep its ID when it restarts.
      if (serverId === "" || random.chance(0.5)) {
        serverId = `server-${index}-${lastId}`;
      }
      return createServerStandin({
        clock,
        id: serverId,
        born: 1_000_000 + clock.now(),
        capacity: options.capacity,
        slowness: options.slowness[index % options.slowness.length]!,
        clockRate: index % SLOW_CLOCK_EVERY === 0 ? MIN_CLOCK_RATE : 1,
        maxLeaseMs: SAMPLE_BOUNDS.maxLeaseMs,
        stopMs: SAMPLE_BOUNDS.stopMs,
        profileOf: options.profileOf,
        observer: checker,
      });
    }

    function announce(): void {
      if (!server.isUp()) return;
      sequence += 1;
      const announcement: Announcement = {
        id: server.id,
        born: server.born,
        service: "pool",
        address: "here:1",
        dataCentre: "a",
        capacity: options.capacity,
        labels: ["a", `rack-${index % 3}`],
        isDraining,
        remainingMs: 2000,
        sequence,
      };
      if (!canRun(node)) return;
      node.core.announced(announcement);
      scheduleEffects();
      // The side acknowledges the announcement immediately.
      if (isDraining && server.startDeadline === Infinity) {
        server.startDeadline = clock.now() + START_GRACE_MS;
      }
    }

    function applyEffects(): void {
      for (const effect of node.core.takeEffects(clock.now())) {
        applyEffect(effect);
      }
    }

    function applyEffect(effect: WorkerEffect): void {
      if (effect.kind === "send") {
        counter.sideSent(effect.frame);
        if ("server" in effect.frame) lastReport = effect.frame.server;
        owners.get(effect.owner)?.toEntry.send(effect.frame);
      } else if (effect.kind === "close") {
        const stream = owners.get(effect.owner);
        if (stream !== undefined) closeStream(stream);
      } else if (effect.kind === "log") {
        options.trace(`side ${index} ${JSON.stringify(effect.decision)}`);
      } else {
        if (effect.kind === "list") counter.listed();
        connection.send(effect);
      }
    }

    function announcePeriodically(): void {
      announce();
      clock.after(ANNOUNCE_INTERVAL_MS, announcePeriodically);
    }

    clock.after(random.next() * 200, announcePeriodically);
    tickEvery(node, () => {
      node.core.tick(clock.now());
      scheduleEffects();
    });
    return node;
  }

  // --- Streams ---

  function dial(entry: number, side: number): void {
    const entryNode = entries[entry]!;
    const sideNode = sides[side]!;
    if (!sideNode.isUp) return;
    if (sideNode.owners.size > 0) {
      for (const stream of sideNode.owners.values()) {
        if (stream.entry === entry) return;
      }
    }
    if (!entryNode.isUp || networkPath(entry, side, true).isPartitioned) {
      clock.after(REDIAL_DELAY_MS, () => dial(entry, side));
      return;
    }
    lastId += 1;
    const id = lastId;
    const stream: Stream = {
      entry,
      side,
      session: id,
      owner: id,
      isClosed: false,
      toSide: createChannel<DispatchFrame>({
        clock,
        path: networkPath(entry, side, true),
        delayMs: () => 0.3 + random.next(),
        canReceive: () => canRun(sideNode),
        received(frame) {
          sideNode.core.ownerSent(id, frame, clock.now());
          sideNode.scheduleEffects();
        },
      }),
      toEntry: createChannel<WorkFrame>({
        clock,
        path: networkPath(entry, side, false),
        delayMs: () => 0.3 + random.next(),
        canReceive: () => canRun(entryNode),
        received(frame) {
          entryNode.dispatcher.frameReceived(id, frame, clock.now());
          entryNode.scheduleEffects();
        },
      }),
    };
    entryNode.sessions.set(id, stream);
    sideNode.owners.set(id, stream);
    entryNode.dispatcher.sessionOpened(id, clock.now());
    sideNode.core.ownerOpened(id, clock.now());
    sideNode.scheduleEffects();
  }

  /** Closes a stream; each end is notified once it is not frozen. */
  function closeStream(stream: Stream): void {
    if (stream.isClosed) return;
    stream.isClosed = true;
    stream.toSide.close();
    stream.toEntry.close();
    const entryNode = entries[stream.entry]!;
    const sideNode = sides[stream.side]!;
    entryNode.sessions.delete(stream.session);
    sideNode.owners.delete(stream.owner);
    const { dispatcher } = entryNode;
    const { core } = sideNode;
    clock.after(0.5, () => {
      runWhenUnfrozen(entryNode, () => {
        dispatcher.sessionClosed(stream.session, clock.now());
        entryNode.scheduleEffects();
      });
      runWhenUnfrozen(sideNode, () => {
        core.ownerClosed(stream.owner, clock.now());
        sideNode.scheduleEffects();
      });
    });
    clock.after(REDIAL_DELAY_MS, () => dial(stream.entry, stream.side));
  }

  return {
    traffic: counter.traffic,
    entries,
    sides,
    networkPath,
    resetStream(entry, side) {
      for (const stream of sides[side]!.owners.values()) {
        if (stream.entry === entry) {
          closeStream(stream);
          return;
        }
      }
    },
  };
}

/** Starts are forbidden this long after a drain was acknowledged. */
const START_GRACE_MS = 2000;
