/** Made-up jobs, sides and cores for measurements without processes. */
import {
  createEntryCore,
  type EntryCore,
  NO_LIMITS,
} from "@coltsfootreach/coordinate";
import { createConfigurationHolder } from "@coltsfootreach/configure";
import { excerptForSides, parseEstate } from "@coltsfootreach/inventory";
import { createTenantQueue } from "@coltsfootreach/limit";
import { createExpectedDelay } from "@coltsfootreach/place";
import type {
  Estate,
  Job,
  Member,
  SideFrame,
  SideMessage,
  Table,
} from "@coltsfootreach/types";

export const CLASS = "heat-check";

const WINDOW_MS = 600_000;

const FRESHNESS_MS = 3000;

const REGIONS = 7;

const DATA_CENTRES = 28;

const TENANTS = 140;

const RACK_SIZE = 20;

const SLOTS = 8;

const MEMORY_MB = 65_536;

const CORES = 16;

const ACCELERATORS = 2;

export function createMember(number: number): Member {
  return {
    incarnation: `entry-${number}-00000000-0000-4000-8000-000000000000`,
    name: `entry-${number}`,
    dataCentre: "kiln-yard",
    address: `10.0.0.${number}:7000`,
    draining: false,
  };
}

export function createTable(version: number, members: number): Table {
  return {
    version,
    members: Array.from({ length: members }, (_, at) => createMember(at)),
    removals: [],
  };
}

/** A table without its last member, which had not left by itself. */
export function withoutLast(table: Table): Table {
  const version = table.version + 1;
  const { incarnation } = table.members.at(-1)!;
  return {
    version,
    members: table.members.slice(0, -1),
    removals: [{ incarnation, name: incarnation, version }],
  };
}

export function createCore(): EntryCore {
  return createEntryCore({
    member: createMember(0),
    records: {
      windowMs: WINDOW_MS,
      skewMs: FRESHNESS_MS,
      maxRecords: Infinity,
      overdueMs: WINDOW_MS,
      orphanMs: WINDOW_MS,
    },
    queue: createTenantQueue(),
    policy: createExpectedDelay({ random: Math.random }),
    limits: NO_LIMITS,
    wallMs: () => Date.now(),
    holder: createConfigurationHolder({ parse: parseEstate }),
    excerptForSides,
    freshnessMs: FRESHNESS_MS,
    sideLostMs: WINDOW_MS,
    doubtMs: WINDOW_MS,
    maxHeld: 1_000_000,
  });
}

export function createJob(number: number, tasks: number): Job {
  return {
    key: `key-${number}`,
    tenant: `team-${number % TENANTS}`,
    class: CLASS,
    deadlineMs: WINDOW_MS,
    firstSubmittedAtMs: Date.now(),
    tasks: Array.from({ length: tasks }, (_, index) => ({
      body: JSON.stringify({ sleepMs: 50, echo: `${number}/${index}` }),
      size: { cores: 1, memoryMb: 0, accelerators: 0 },
      declaredMs: 250,
      idempotent: false,
    })),
  };
}

export function incarnationOf(side: number): string {
  return `side-${side}-00000000-0000-4000-8000-000000000000`;
}

export interface FrameOptions {
  readonly tableVersion: number;
  readonly messages: readonly SideMessage[];
}

export function createFrame(side: number, options: FrameOptions): SideFrame {
  return {
    side: `side-${side}`,
    incarnation: incarnationOf(side),
    sequence: 1,
    stampMs: 1,
    configurationVersion: 1,
    load: { running: 0, queued: 0 },
    held: 0,
    ...options,
  };
}

export function createHello(side: number): SideMessage {
  return {
    kind: "hello",
    identity: {
      side: `side-${side}`,
      incarnation: incarnationOf(side),
      dataCentre: `dc-${side % DATA_CENTRES}`,
      rack: `rack-${Math.floor(side / RACK_SIZE)}`,
      worker: `worker-${side}`,
    },
    registration: 1,
    announcement: {
      server: `server-${side}`,
      origin: "http://127.0.0.1:9000",
      slots: SLOTS,
      connections: 60,
      classes: [CLASS],
      size: {
        cores: CORES,
        memoryMb: MEMORY_MB,
        accelerators: ACCELERATORS,
      },
    },
    draining: false,
  };
}

/** Lets sides say hello to a core that follows the table. */
export function addSides(core: EntryCore, sides: number): void {
  const tableVersion = core.table().version;
  for (let side = 0; side < sides; side++) {
    const messages = [createHello(side)];
    core.sideFrame(createFrame(side, { tableVersion, messages }), 0);
  }
}

/** An inventory of the target's regions, data centres and teams. */
export function createEstate(workers: number): Estate {
  return {
    version: 1,
    dataCentres: Array.from({ length: DATA_CENTRES }, (_, at) => ({
      name: `dc-${at}`,
      region: `region-${at % REGIONS}`,
      delayMs: 1,
    })),
    workers: Array.from({ length: workers }, (_, at) => ({
      name: `worker-${at}`,
      dataCentre: `dc-${at % DATA_CENTRES}`,
      rack: `rack-${Math.floor(at / RACK_SIZE)}`,
      cores: CORES,
      memoryMb: MEMORY_MB,
      accelerators: ACCELERATORS,
    })),
    servers: Array.from({ length: workers }, (_, at) => ({
      name: `server-${at}`,
      worker: `worker-${at}`,
      slots: SLOTS,
      connections: 60,
    })),
    tenants: Array.from({ length: TENANTS }, (_, at) => ({
      name: `team-${at}`,
      weight: 1,
      startsPerSecond: 10_000,
      maxQueued: 20_000,
    })),
    classes: [{ name: CLASS, deadlineMs: 5000, idempotent: false }],
    rules: {
      held: [],
      drained: [],
      neverEjected: [],
      gone: [],
      ejectFailureRatio: 0.5,
      ejectAtMost: 0.3,
      probationMs: 30_000,
      retryShare: 0.1,
    },
  };
}
