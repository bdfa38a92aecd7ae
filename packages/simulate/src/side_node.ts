/** A simulated side process with its backend server. */
import {
  type Announcement,
  MIN_CLOCK_RATE,
  type ServerReport,
} from "@coltsfootreach/run";
import { SAMPLE_BOUNDS } from "@coltsfootreach/standin";
import {
  createWorkerCore,
  type OwnerId,
  type WorkerCore,
  type WorkerEffect,
} from "@coltsfootreach/worker";
import type { FleetStream, SideNode } from "./fleet_state.ts";
import type { FleetParts } from "./fleet_streams.ts";
import { createServerConnection } from "./server_connection.ts";
import { createServerStandin, type ServerStandin } from "./server_standin.ts";

/** Downtime of a server that restarts before its failure is detected. */
const BRIEF_DOWNTIME_MS = 5;

const ANNOUNCE_INTERVAL_MS = 1500;

/** Every third server has a slow clock. */
const SLOW_CLOCK_EVERY = 3;

/** Starts are forbidden this long after a drain was acknowledged. */
const START_GRACE_MS = 2000;

export function createSideNode(
  index: number,
  { state, streams }: FleetParts,
): SideNode {
  const { counter, entries, nodes, options } = state;
  const { checker, clock, random } = options;
  const owners = new Map<OwnerId, FleetStream>();
  const scheduleEffects = nodes.createEffectScheduler(() => node, applyEffects);
  const connection = createServerConnection({
    clock,
    random,
    runWhenUnfrozen: nodes.runWhenUnfrozen,
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
    orderLossRate: 0,
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
      for (const stream of [...owners.values()]) streams.close(stream);
      clock.after(downMs, () => {
        node.isUp = true;
        node.frozenUntil = 0;
        node.core = makeCore();
        for (let entry = 0; entry < entries.length; entry += 1) {
          streams.dial(entry, index);
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
    drainServer({ leaveMs, lingerMs }) {
      if (isDraining || !server.isUp()) return;
      isDraining = true;
      announce();
      const drainingServer = server;
      clock.after(leaveMs, () => {
        if (server !== drainingServer || !drainingServer.isUp()) return;
        sendLeaveNotice(drainingServer.id);
        clock.after(lingerMs, () => {
          if (server === drainingServer) node.crashServer(1000);
        });
      });
    },
    sendStaleLeaveNotice: () => sendLeaveNotice(server.id),
  };

  function sendLeaveNotice(id: string): void {
    if (!node.isUp) return;
    nodes.runWhenUnfrozen(node, () => {
      node.core.left(id, clock.now());
      scheduleEffects();
    });
  }

  function makeCore(): WorkerCore {
    return createWorkerCore({
      side: `side-${index}`,
      dataCentre: "a",
      timing: options.timing,
      initialFencingToken: Math.floor(clock.now()) + 1,
    });
  }

  function makeServer(): ServerStandin {
    const number = state.takeId();
    // A server may keep its ID when it restarts.
    if (serverId === "" || random.chance(0.5)) {
      serverId = `server-${index}-${number}`;
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
    if (!nodes.canRun(node)) return;
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
      if (stream !== undefined) streams.close(stream);
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
  nodes.tickEvery(node, () => {
    node.core.tick(clock.now());
    scheduleEffects();
  });
  return node;
}
