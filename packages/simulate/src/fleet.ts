/** Entries, sides and backend servers, with the streams between them. */
import {
  type Answer,
  createDispatcher,
  type DispatchEffect,
  type Dispatcher,
  type SessionId,
  type SubmissionId,
} from "@coltsfootreach/dispatch";
import type {
  Announcement,
  DispatchFrame,
  Job,
  Queue,
  Resources,
  RunRef,
  Timing,
  WorkFrame,
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
  type TaskTruth,
} from "./server_standin.ts";
import { createNodes, type Node } from "./node.ts";
import { createServerLine } from "./server_line.ts";
import { createTrafficCounter, type Traffic } from "./traffic.ts";
import { createWire, type Way, type Wire } from "./wire.ts";

/** A server that is back before anyone has noticed that it was down. */
const BRIEF_MS = 5;

const ANNOUNCE_MS = 1500;

const REDIAL_MS = 100;

export interface FleetOptions {
  readonly clock: SimulatedClock;
  readonly random: Random;
  readonly checker: Checker;
  readonly timing: Timing;
  readonly entries: number;
  readonly sides: number;
  readonly capacity: Resources;
  /** Run time over work, for each server in turn. */
  readonly slowness: readonly number[];
  truth(ref: RunRef): TaskTruth;
  trace(what: string): void;
}

export interface Submitted {
  /** The caller has left. */
  abandon(): void;
}

export interface SimulatedEntry {
  isUp: boolean;
  frozenUntil: number;
  /** Undefined when the connection could not be opened. */
  submit(
    queue: Queue,
    job: Job,
    caller: { answered(answer: Answer): void; broken(): void },
  ): Submitted | undefined;
  kill(downMs: number): void;
  liveJobs(): number;
}

export interface SimulatedSide {
  isUp: boolean;
  frozenUntil: number;
  /** Share of its orders that get no answer. */
  lossShare: number;
  server(): ServerStandin;
  kill(downMs: number): void;
  crashServer(downMs: number): void;
  /** The server says that it drains, and leaves later. */
  drainServer(leaveMs: number): void;
}

export interface Fleet {
  readonly traffic: Readonly<Traffic>;
  readonly entries: readonly SimulatedEntry[];
  readonly sides: readonly SimulatedSide[];
  /** The way between an entry and a side, by direction. */
  way(entry: number, side: number, toSide: boolean): Way;
  resetStream(entry: number, side: number): void;
}

interface EntryNode extends SimulatedEntry, Node {
  dispatcher: Dispatcher;
  readonly sessions: Map<SessionId, Stream>;
  poke(): void;
}

interface SideNode extends SimulatedSide, Node {
  core: WorkerCore;
  readonly owners: Map<OwnerId, Stream>;
  poke(): void;
}

interface Stream {
  readonly entry: number;
  readonly side: number;
  readonly session: SessionId;
  readonly owner: OwnerId;
  readonly toSide: Wire<DispatchFrame>;
  readonly toEntry: Wire<WorkFrame>;
  isOver: boolean;
}

export function createFleet(options: FleetOptions): Fleet {
  const { clock, random, checker } = options;
  const { canRun, whenAwake, createPoke, tickEvery } = createNodes(clock);
  const ways = new Map<string, Way>();
  const counter = createTrafficCounter();
  let lastId = 0;

  function way(entry: number, side: number, toSide: boolean): Way {
    const key = `${entry}/${side}/${toSide}`;
    const known = ways.get(key) ?? { isCut: false };
    ways.set(key, known);
    return known;
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
    const callers = new Map<
      SubmissionId,
      { answered(answer: Answer): void; broken(): void }
    >();
    const poke = createPoke(() => node, carryOut);
    const node: EntryNode = {
      isUp: true,
      frozenUntil: 0,
      life: 0,
      dispatcher: makeDispatcher(),
      sessions,
      poke,
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
          ageMs: 0,
        };
        whenAwake(node, () => {
          node.dispatcher.submit(submission, clock.now());
          poke();
        });
        return {
          abandon() {
            if (!callers.delete(id)) return;
            whenAwake(node, () => {
              node.dispatcher.abandon(id, clock.now());
              poke();
            });
          },
        };
      },
      kill(downMs) {
        if (!node.isUp) return;
        node.isUp = false;
        node.life += 1;
        for (const stream of [...sessions.values()]) endStream(stream);
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
        random: random.next,
      });
    }

    function carryOut(): void {
      for (const effect of node.dispatcher.takeEffects(clock.now())) {
        perform(effect);
      }
    }

    function perform(effect: DispatchEffect): void {
      if (effect.kind === "send") {
        counter.entrySent(effect.frame);
        sessions.get(effect.session)?.toSide.send(effect.frame);
      } else if (effect.kind === "close") {
        const stream = sessions.get(effect.session);
        if (stream !== undefined) endStream(stream);
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
      poke();
    });
    return node;
  }

  // --- Sides ---

  function createSideNode(index: number): SideNode {
    const owners = new Map<OwnerId, Stream>();
    const poke = createPoke(() => node, carryOut);
    const line = createServerLine({
      clock,
      random,
      whenAwake,
      node: () => node,
      poke,
    });
    let serverId = "";
    let server = makeServer();
    let sequence = 0;
    let isDraining = false;
    const node: SideNode = {
      isUp: true,
      frozenUntil: 0,
      life: 0,
      lossShare: 0,
      core: makeCore(),
      owners,
      poke,
      server: () => server,
      kill(downMs) {
        if (!node.isUp) return;
        node.isUp = false;
        node.life += 1;
        for (const stream of [...owners.values()]) endStream(stream);
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
        clock.after(isBrief ? BRIEF_MS : downMs, () => {
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
        const leaving = server;
        clock.after(leaveMs, () => {
          if (server !== leaving || !leaving.isUp()) return;
          whenAwake(node, () => {
            node.core.left(leaving.id);
            poke();
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
      });
    }

    function makeServer(): ServerStandin {
      lastId += 1;
      // A server may start again under the id that it had.
      if (serverId === "" || random.chance(0.5)) {
        serverId = `server-${index}-${lastId}`;
      }
      return createServerStandin({
        clock,
        id: serverId,
        born: 1_000_000 + clock.now(),
        capacity: options.capacity,
        slowness: options.slowness[index % options.slowness.length]!,
        maxLeaseMs: SAMPLE_BOUNDS.maxLeaseMs,
        stopMs: SAMPLE_BOUNDS.stopMs,
        truth: options.truth,
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
      poke();
      // The announcement is acknowledged at once.
      if (isDraining && server.drainedFrom === Infinity) {
        server.drainedFrom = clock.now() + DRAIN_MS;
      }
    }

    function carryOut(): void {
      for (const effect of node.core.takeEffects(clock.now())) perform(effect);
    }

    function perform(effect: WorkerEffect): void {
      if (effect.kind === "send") {
        counter.sideSent(effect.frame);
        owners.get(effect.owner)?.toEntry.send(effect.frame);
      } else if (effect.kind === "close") {
        const stream = owners.get(effect.owner);
        if (stream !== undefined) endStream(stream);
      } else if (effect.kind === "log") {
        options.trace(`side ${index} ${JSON.stringify(effect.decision)}`);
      } else {
        if (effect.kind === "list") counter.listed();
        line.carry(effect);
      }
    }

    function announceEvery(): void {
      announce();
      clock.after(ANNOUNCE_MS, announceEvery);
    }

    clock.after(random.next() * 200, announceEvery);
    tickEvery(node, () => {
      node.core.tick(clock.now());
      poke();
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
    if (!entryNode.isUp || way(entry, side, true).isCut) {
      clock.after(REDIAL_MS, () => dial(entry, side));
      return;
    }
    lastId += 1;
    const id = lastId;
    const stream: Stream = {
      entry,
      side,
      session: id,
      owner: id,
      isOver: false,
      toSide: createWire<DispatchFrame>({
        clock,
        way: way(entry, side, true),
        delayMs: () => 0.3 + random.next(),
        canReceive: () => canRun(sideNode),
        received(frame) {
          sideNode.core.ownerSent(id, frame, clock.now());
          sideNode.poke();
        },
      }),
      toEntry: createWire<WorkFrame>({
        clock,
        way: way(entry, side, false),
        delayMs: () => 0.3 + random.next(),
        canReceive: () => canRun(entryNode),
        received(frame) {
          entryNode.dispatcher.frameReceived(id, frame, clock.now());
          entryNode.poke();
        },
      }),
    };
    entryNode.sessions.set(id, stream);
    sideNode.owners.set(id, stream);
    entryNode.dispatcher.sessionOpened(id, clock.now());
    sideNode.core.ownerOpened(id, clock.now());
    sideNode.poke();
  }

  /** Ends a stream; each end learns of it once it is awake. */
  function endStream(stream: Stream): void {
    if (stream.isOver) return;
    stream.isOver = true;
    stream.toSide.cutOff();
    stream.toEntry.cutOff();
    const entryNode = entries[stream.entry]!;
    const sideNode = sides[stream.side]!;
    entryNode.sessions.delete(stream.session);
    sideNode.owners.delete(stream.owner);
    const { dispatcher } = entryNode;
    const { core } = sideNode;
    clock.after(0.5, () => {
      whenAwake(entryNode, () => {
        dispatcher.sessionClosed(stream.session, clock.now());
        entryNode.poke();
      });
      whenAwake(sideNode, () => {
        core.ownerClosed(stream.owner, clock.now());
        sideNode.poke();
      });
    });
    clock.after(REDIAL_MS, () => dial(stream.entry, stream.side));
  }

  return {
    traffic: counter.traffic,
    entries,
    sides,
    way,
    resetStream(entry, side) {
      for (const stream of sides[side]!.owners.values()) {
        if (stream.entry === entry) {
          endStream(stream);
          return;
        }
      }
    },
  };
}

/** No start is allowed this long after a drain was acknowledged. */
const DRAIN_MS = 2000;
