/**
 * Sides without a guard and without a backend server: they register with the
 * entries of the table, answer every start with its result at once, and send a
 * heartbeat on idle streams. Many stand in one process. They are for load and
 * sizes only, since nothing fences their starts.
 */
import { dialAsSide, type Stream } from "@coltsfootreach/link";
import {
  type Announcement,
  EMPTY_TABLE,
  type EntryFrame,
  type EntryMessage,
  type SideFrame,
  type SideMessage,
  type Table,
} from "@coltsfootreach/types";

const HEARTBEAT_MS = 1400;

/** How often idle streams are looked for. */
const CHECK_MS = 250;

const REDIAL_MS = 200;

const MEMORY_MB = 65_536;

const CORES = 64;

export interface SideStandinOptions {
  readonly name: string;
  readonly dataCentre: string;
  /** Link addresses of entries to ask first. */
  readonly entries: readonly string[];
  readonly classes: readonly string[];
  readonly slots: number;
}

export interface SideStandin {
  /** Starts that were answered. */
  starts(): number;
  close(): void;
}

interface Link {
  stream: Stream<SideFrame> | undefined;
  sequence: number;
  sentAtMs: number;
  due: SideMessage[];
}

export function createSideStandin(options: SideStandinOptions): SideStandin {
  const { name, dataCentre } = options;
  const incarnation = `${name}-run-1`;
  const links = new Map<string, Link>();
  let table: Table = EMPTY_TABLE;
  let starts = 0;
  let isClosed = false;

  const announcement: Announcement = {
    server: `server-of-${name}`,
    origin: "http://127.0.0.1:9",
    slots: options.slots,
    connections: options.slots,
    classes: options.classes,
    size: { cores: CORES, memoryMb: MEMORY_MB, accelerators: CORES },
  };

  const hello: SideMessage = {
    kind: "hello",
    identity: {
      side: name,
      incarnation,
      dataCentre,
      rack: "rack-0",
      worker: `worker-of-${name}`,
    },
    registration: 1,
    announcement,
    draining: false,
  };

  function connect(address: string): void {
    if (links.has(address)) return;
    const link: Link = { stream: undefined, sequence: 0, sentAtMs: 0, due: [] };
    links.set(address, link);
    dial(address, link);
  }

  function dial(address: string, link: Link): void {
    if (isClosed || links.get(address) !== link) return;
    link.stream = dialAsSide({ address }, {
      received: (frame) => take(link, frame),
      drained: () => {},
      closed() {
        link.stream = undefined;
        setTimeout(() => dial(address, link), REDIAL_MS);
      },
    });
    send(link, [hello]);
  }

  function send(link: Link, messages: readonly SideMessage[]): void {
    const stampMs = performance.now();
    link.sequence += 1;
    link.sentAtMs = stampMs;
    link.stream?.send({
      side: name,
      incarnation,
      sequence: link.sequence,
      stampMs,
      tableVersion: table.version,
      configurationVersion: 0,
      load: { running: 0, queued: 0 },
      held: 0,
      messages,
    });
  }

  function take(link: Link, frame: EntryFrame): void {
    const before = table.version;
    for (const message of frame.messages) handle(link, message);
    if (link.due.length === 0 && table.version === before) return;
    const due = link.due;
    link.due = [];
    send(link, due);
  }

  function handle(link: Link, message: EntryMessage): void {
    if (message.kind === "start") {
      starts += 1;
      const { job, index } = message;
      link.due.push({
        kind: "result",
        job,
        outcome: {
          index,
          state: "complete",
          verdict: "ran",
          body: message.body,
          runMs: 1,
          server: announcement.server,
        },
      });
    } else if (message.kind === "collect") {
      const { tableVersion } = message;
      link.due.push({ kind: "evidence", tableVersion, jobs: [] });
    } else if (message.kind === "table") {
      adopt(message.table);
    }
  }

  function adopt(next: Table): void {
    if (next.version <= table.version) return;
    table = next;
    const wanted = new Set(table.members.map(({ address }) => address));
    wanted.forEach(connect);
    for (const [address, link] of links) {
      if (wanted.has(address)) continue;
      links.delete(address);
      link.stream?.close();
    }
  }

  const timer = setInterval(() => {
    const nowMs = performance.now();
    for (const link of links.values()) {
      if (nowMs - link.sentAtMs >= HEARTBEAT_MS) send(link, []);
    }
  }, CHECK_MS);

  options.entries.forEach(connect);

  return {
    starts: () => starts,
    close() {
      isClosed = true;
      clearInterval(timer);
      for (const link of links.values()) link.stream?.close();
    },
  };
}
