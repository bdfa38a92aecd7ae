/**
 * The state machine of an entry. Each event returns the messages to send; the
 * tasks around it own sockets and timers.
 */
import type { Records } from "@coltsfootreach/admit";
import type { ConfigurationSource } from "@coltsfootreach/configure";
import type { OutlierDetector } from "@coltsfootreach/place";
import type { Settlement } from "@coltsfootreach/takeover";
import type {
  Configuration,
  JobId,
  PeerFrame,
  SideFrame,
  Table,
} from "@coltsfootreach/types";
import type { ConfigurationDesk } from "./configuration_desk.ts";
import { createEntryContext } from "./context.ts";
import type { EntryEffect, EntryOptions } from "./effect.ts";
import { createRequestDesk } from "./request_desk.ts";
import type { Ask } from "./requests.ts";
import { createSideDesk } from "./side_desk.ts";
import type { Sides } from "./sides.ts";
import { createTableDesk } from "./table_desk.ts";
import { createTaskDesk } from "./task_desk.ts";

/** Pause before a request that was not taken is forwarded again. */
const FORWARD_PAUSE_MS = 20;

export interface Request {
  /** Chosen by the caller of the core; names the reply. */
  readonly request: number;
  readonly job: JobId;
  readonly ask: Ask;
}

/** A table read from the store, and when the read began. */
export interface TableRead {
  readonly table: Table;
  /** The value that `beginTableRead` returned before the read. */
  readonly token: TableReadToken;
}

/** Newest stamp of each side when a read of the store began. */
export type TableReadToken = ReadonlyMap<string, number>;

export interface EntryCore {
  request(request: Request, nowMs: number): readonly EntryEffect[];
  /** The caller has gone; its request needs no reply. */
  abandon(request: number): void;
  sideFrame(frame: SideFrame, nowMs: number): readonly EntryEffect[];
  sideClosed(incarnation: string): void;
  peerUp(entry: string, nowMs: number): readonly EntryEffect[];
  peerDown(entry: string): void;
  peerFrame(frame: PeerFrame, nowMs: number): readonly EntryEffect[];
  /** The lease of this entry cannot lapse before this time. */
  leaseHeld(untilMs: number): void;
  beginTableRead(): TableReadToken;
  tableRead(read: TableRead, nowMs: number): readonly EntryEffect[];
  tableLearned(table: Table, nowMs: number): readonly EntryEffect[];
  /** Takes in a version of the configuration from the store. */
  configurationLearned(
    configuration: Configuration,
    source: ConfigurationSource,
    nowMs: number,
  ): readonly EntryEffect[];
  /** Places what waits; called once after each batch of events. */
  dispatch(nowMs: number): readonly EntryEffect[];
  tick(now: { nowMs: number; wallMs: number }): readonly EntryEffect[];
  table(): Table;
  /** Slots of live sides that this entry can count on as its share. */
  slotShare(): number;
  /** True while tasks wait for a slot. */
  hasWaiting(): boolean;
  /** How many other entries there is a stream to. */
  connectedPeers(): number;
  /** The freshness stamps for the next frame to a side. */
  stamps(side: string): SideStamps;
  /** True when nothing of a caller or of a job is left here. */
  isIdle(): boolean;
  readonly configuration: ConfigurationDesk;
  readonly health: OutlierDetector;
  readonly records: Records;
  readonly sides: Sides;
  readonly settlement: Settlement;
}

export interface SideStamps {
  readonly echoedStampMs: number;
  readonly readStampMs: number;
}

export function createEntryCore(options: EntryOptions): EntryCore {
  const context = createEntryContext(options);
  const { records, sides, settlement, flush } = context;
  const tasks = createTaskDesk(context);
  const requests = createRequestDesk(context, tasks);
  const sideDesk = createSideDesk(context, tasks);
  const tables = createTableDesk(context, { requests, sides: sideDesk, tasks });
  let lastForwardAtMs = 0;

  return {
    request({ request, job, ask }, nowMs) {
      const origin = { kind: "local", request } as const;
      requests.route({ origin, job, ask, receivedAtMs: nowMs });
      return flush();
    },
    abandon(request) {
      requests.abandon(request);
    },
    sideFrame(frame, nowMs) {
      sideDesk.take(frame, nowMs);
      return flush();
    },
    sideClosed(incarnation) {
      sides.closed(incarnation);
    },
    peerUp(entry, nowMs) {
      tables.peerUp(entry, nowMs);
      return flush();
    },
    peerDown(entry) {
      context.connectedPeers.delete(entry);
    },
    peerFrame(frame, nowMs) {
      tables.takePeerFrame(frame, nowMs);
      return flush();
    },
    leaseHeld(untilMs) {
      context.membership.certainUntilMs = untilMs;
    },
    beginTableRead() {
      const stamps = new Map<string, number>();
      for (const side of sides.all()) {
        stamps.set(side.identity.incarnation, side.stampMs);
      }
      return stamps;
    },
    tableRead({ table, token }, nowMs) {
      tables.adopt(table, nowMs);
      if (table.version !== settlement.table().version) return flush();
      for (const [incarnation, stampMs] of token) {
        const side = sides.find(incarnation);
        if (side !== undefined) side.readStampMs = stampMs;
      }
      return flush();
    },
    tableLearned(table, nowMs) {
      tables.adopt(table, nowMs);
      return flush();
    },
    configurationLearned(configuration, source, nowMs) {
      tables.learn(configuration, source, nowMs);
      return flush();
    },
    dispatch(nowMs) {
      tasks.placeWaiting(nowMs);
      return flush();
    },
    tick({ nowMs, wallMs }) {
      sideDesk.check(nowMs);
      if (settlement.tick({ nowMs, wallMs })) {
        tables.resumeSettled(nowMs);
        requests.routeHeld();
      }
      sideDesk.updateAll();
      tables.updateAll(nowMs);
      if (nowMs - lastForwardAtMs >= FORWARD_PAUSE_MS) {
        lastForwardAtMs = nowMs;
        requests.resendForwards(nowMs);
      }
      tasks.expire(nowMs);
      requests.expire(nowMs);
      context.shedding.check(nowMs);
      return flush();
    },
    table: () => settlement.table(),
    slotShare: () =>
      sides.liveSlots() / Math.max(1, settlement.table().members.length),
    hasWaiting: () => options.queue.size() > 0,
    connectedPeers: () => context.connectedPeers.size,
    stamps(incarnation) {
      const side = sides.find(incarnation);
      return {
        echoedStampMs: side?.stampMs ?? -1,
        readStampMs: side?.readStampMs ?? -1,
      };
    },
    isIdle() {
      const hasOpen = [...records.open()].length > 0;
      return requests.isIdle() && !hasOpen && context.outgoing.isEmpty();
    },
    configuration: context.configuration,
    health: context.health,
    records,
    sides,
    settlement,
  };
}
