/**
 * What operators describe: the inventory from their asset register and a few
 * rules on top. One parsed configuration version.
 */

export interface DataCentre {
  readonly name: string;
  readonly region: string;
  /** One-way delay to the other data centres of its region. */
  readonly delayMs: number;
}

export interface Worker {
  readonly name: string;
  readonly dataCentre: string;
  readonly rack: string;
  readonly cores: number;
  readonly memoryMb: number;
  readonly accelerators: number;
}

/** A backend server that operators expect to announce itself. */
export interface ExpectedServer {
  readonly name: string;
  readonly worker: string;
  readonly slots: number;
  readonly connections: number;
}

export interface Tenant {
  readonly name: string;
  /** Share of capacity relative to other tenants when all have work. */
  readonly weight: number;
  /** Most task starts per second over all entries; 0 means no limit. */
  readonly startsPerSecond: number;
  /** Most tasks waiting over all entries. */
  readonly maxQueued: number;
}

/** A kind of request: its deadline and whether it may be repeated. */
export interface RequestClass {
  readonly name: string;
  readonly deadlineMs: number;
  readonly idempotent: boolean;
}

/** Kinds of automatic act, as operators name them in rules and commands. */
export const ACT_KINDS = [
  "eject",
  "readmit",
  "takeOver",
  "shed",
  "moveQuota",
  "drain",
] as const;

export type ActKind = typeof ACT_KINDS[number];

export interface Rules {
  /** Kinds of automatic act that operators have stopped. */
  readonly held: readonly ActKind[];
  /** Backend servers that take no new work. */
  readonly drained: readonly string[];
  /** Backend servers that are never ejected; undoes an ejection for good. */
  readonly neverEjected: readonly string[];
  /** Entry incarnations that an operator declares gone for good. */
  readonly gone: readonly string[];
  /** Share of failed tasks at which a backend server is ejected, 0 to 1. */
  readonly ejectFailureRatio: number;
  /** Most backend servers that may be ejected at once, share of all, 0 to 1. */
  readonly ejectAtMost: number;
  /** How long an ejected backend server stays out before it is tried again. */
  readonly probationMs: number;
  /** Share of started tasks that may be retried, per tenant, 0 to 1. */
  readonly retryShare: number;
}

/** Rules that hold where the configuration says nothing. */
export const DEFAULT_RULES: Rules = {
  held: [],
  drained: [],
  neverEjected: [],
  gone: [],
  ejectFailureRatio: 0.5,
  ejectAtMost: 0.3,
  probationMs: 30_000,
  retryShare: 0.1,
};

export interface Estate {
  readonly version: number;
  readonly dataCentres: readonly DataCentre[];
  readonly workers: readonly Worker[];
  readonly servers: readonly ExpectedServer[];
  readonly tenants: readonly Tenant[];
  readonly classes: readonly RequestClass[];
  readonly rules: Rules;
}

/** Numbers by name. */
export type Figures = Readonly<Record<string, number>>;

/** A record of something the system did by itself. */
export interface Act {
  readonly id: string;
  readonly kind: ActKind;
  /** What it was done to: a backend server, an entry or a tenant. */
  readonly subject: string;
  readonly why: string;
  /** The figures behind the decision, by name. */
  readonly figures: Figures;
  readonly configurationVersion: number;
  readonly atMs: number;
  readonly undoneAtMs?: number | undefined;
}
