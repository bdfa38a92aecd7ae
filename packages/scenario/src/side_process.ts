/**
 * A simulated side process: the real guard and outboxes, with fake streams,
 * timers and backend server around them.
 */
import {
  createGuard,
  type Guard,
  type GuardEffect,
  type GuardOptions,
} from "@coltsfootreach/guard";
import { createOutbox } from "@coltsfootreach/link";
import type {
  Announcement,
  EntryFrame,
  SideFrame,
  SideMessage,
  Start,
} from "@coltsfootreach/types";
import type { EntryProcess } from "./entry_process.ts";
import type { Host } from "./host.ts";
import type { End, Network } from "./network.ts";
import type { Server } from "./server.ts";
import type { Limits } from "./settings.ts";

/** Smallest step of the stamp on frames in milliseconds. */
const STAMP_STEP_MS = 0.001;

export interface SideProcessOptions {
  readonly host: Host;
  readonly incarnation: string;
  readonly network: Network;
  readonly server: Server;
  readonly slots: number;
  readonly limits: Limits;
  /** Names of the entries to ask first. */
  readonly entries: readonly string[];
  entryAt(address: string): EntryProcess | undefined;
  createGuard?: ((options: GuardOptions) => Guard) | undefined;
}

export interface SideProcess {
  readonly host: Host;
  readonly incarnation: string;
  readonly guard: Guard;
  drain(left: () => void): void;
}

interface Link {
  push(message: SideMessage): void;
  /** The next frame says hello again. */
  sayHello(): void;
  flush(): void;
  entry(): string | undefined;
  isSettled(): boolean;
  close(): void;
}

export function createSideProcess(options: SideProcessOptions): SideProcess {
  const { host, incarnation, limits, server } = options;
  const guard = (options.createGuard ?? createGuard)({
    identity: {
      side: host.name,
      incarnation,
      dataCentre: "d1",
      rack: "r1",
      worker: host.name,
    },
    freshnessMs: limits.freshnessMs,
    queuePerSlot: limits.queuePerSlot,
    keepEvidenceMs: limits.keepEvidenceMs,
    keepResultsMs: limits.keepResultsMs,
    maxJobs: limits.maxJobs,
  });
  const links = new Map<string, Link>();
  let lastStampMs = 0;

  function stamp(): number {
    lastStampMs = Math.max(host.nowMs(), lastStampMs + STAMP_STEP_MS);
    return lastStampMs;
  }

  function frame(
    entry: string | undefined,
  ): Omit<SideFrame, "messages" | "sequence"> {
    return {
      side: host.name,
      incarnation,
      to: entry,
      stampMs: stamp(),
      tableVersion: guard.table().version,
      configurationVersion: 0,
      load: guard.load(),
      held: entry === undefined ? 0 : guard.heldFor(entry),
    };
  }

  function apply(effects: readonly GuardEffect[]): void {
    for (const effect of effects) {
      if (effect.kind === "run") run(effect.start);
      else if (effect.kind === "stop") server.stop(effect.name);
      else if (effect.kind === "tableAdopted") followMembers();
      else if (effect.kind === "sayHello") sayHello();
      else send(effect.entry, effect.message);
    }
    for (const link of links.values()) link.flush();
  }

  function send(entry: string, message: SideMessage): void {
    for (const link of links.values()) {
      if (link.entry() === entry) link.push(message);
    }
  }

  function sayHello(): void {
    for (const link of links.values()) link.sayHello();
  }

  function run(start: Start): void {
    server.run(
      start,
      (outcome) =>
        host.execute(() => apply(guard.ended(start.job, outcome, stamp()))),
    );
  }

  function connect(address: string): void {
    if (!links.has(address)) links.set(address, openLink(address));
  }

  function followMembers(): void {
    const wanted = new Set(guard.table().members.map((one) => one.address));
    if (wanted.size === 0) return;
    wanted.forEach(connect);
    for (const [address, link] of links) {
      if (wanted.has(address)) continue;
      link.close();
      links.delete(address);
    }
  }

  function openLink(address: string): Link {
    const outbox = createOutbox<SideMessage>();
    let stream: End | undefined;
    let entry: string | undefined;
    let sequence = 0;
    let sentAtMs = 0;
    let heardAtMs = 0;
    let isClosed = false;
    let isHelloDue = false;

    function open(): void {
      const target = options.entryAt(address);
      if (isClosed) return;
      if (target === undefined) return host.after(limits.redialMs, open);
      heardAtMs = host.nowMs();
      const dialled = options.network.dial(
        host,
        target.host,
        (end) => target.acceptSide(end),
      );
      const own = dialled.end;
      stream = own;
      dialled.listen({
        received(received) {
          if (stream === own) take(received as EntryFrame);
        },
        closed() {
          if (stream === own) replace();
        },
      });
      outbox.requeueUnacknowledged();
      isHelloDue = true;
      transmit();
    }

    function replace(): void {
      const old = stream;
      stream = undefined;
      old?.close();
      if (!isClosed) host.after(limits.redialMs, open);
    }

    function take(received: EntryFrame): void {
      heardAtMs = host.nowMs();
      entry = received.entry;
      outbox.acknowledge(received.ack);
      apply(guard.receive(received, stamp()));
    }

    function transmit(): void {
      if (stream === undefined) return;
      const hello = isHelloDue ? [guard.hello()] : [];
      isHelloDue = false;
      sequence += 1;
      sentAtMs = host.nowMs();
      const messages = [...hello, ...outbox.takePending(sequence)];
      stream.send({ ...frame(entry), sequence, messages } satisfies SideFrame);
    }

    host.every(limits.heartbeatMs / 4, () => {
      if (stream === undefined) return;
      const nowMs = host.nowMs();
      if (nowMs - heardAtMs > limits.sideLostMs) replace();
      else if (nowMs - sentAtMs >= limits.heartbeatMs) transmit();
    });
    open();
    return {
      push: (message) => outbox.push(message),
      sayHello() {
        isHelloDue = true;
      },
      flush() {
        if (isHelloDue || outbox.hasPending()) transmit();
      },
      entry: () => entry,
      isSettled: () => outbox.isEmpty(),
      close() {
        isClosed = true;
        const old = stream;
        stream = undefined;
        old?.close();
      },
    };
  }

  function isDone(): boolean {
    const { running, queued } = guard.load();
    if (running + queued > 0) return false;
    return [...links.values()].every((link) => link.isSettled());
  }

  const announcement: Announcement = {
    server: server.name,
    origin: `http://${server.name}`,
    slots: options.slots,
    connections: options.slots,
    classes: ["release"],
    size: { cores: 8, memoryMb: 1000, accelerators: 0 },
  };
  apply(guard.announce(announcement, stamp()));
  host.every(limits.tickMs, () => apply(guard.tick(stamp())));
  options.entries.forEach(connect);

  return {
    host,
    incarnation,
    guard,
    drain(left) {
      apply(guard.drain());
      const untilMs = host.nowMs() + limits.drainMs;
      const leave = () => {
        if (!isDone() && host.nowMs() < untilMs) {
          return host.after(limits.tickMs, leave);
        }
        for (const link of links.values()) link.push({ kind: "goodbye" });
        for (const link of links.values()) link.flush();
        host.after(limits.retryMs, () => {
          for (const link of links.values()) link.close();
          left();
        });
      };
      leave();
    },
  };
}
