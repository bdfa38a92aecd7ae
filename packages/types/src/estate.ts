/**
 * The parsed form of one configuration version: the operators' inventory, from
 * their asset register, and the rules that they add to it.
 */

export interface DataCentre {
  readonly name: string;
  readonly region: string;
  /** One-way network delay to the other data centres of the region. */
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

/** A backend server that is expected to announce itself. */
export interface ExpectedServer {
  readonly name: string;
  readonly worker: string;
  readonly slots: number;
  readonly connections: number;
}

export interface Tenant {
  readonly name: string;
  /** Relative share of capacity when all tenants have work. */
  readonly weight: number;
  /** Maximum task starts per second over all entries; 0 means no limit. */
  readonly startsPerSecond: number;
  /** Maximum number of queued tasks over all entries. */
  readonly maxQueued: number;
}

/** A class of requests: its deadline and whether they may be retried. */
export interface RequestClass {
  readonly name: string;
  readonly deadlineMs: number;
  readonly idempotent: boolean;
}

/** Kinds of automatic action, as written in rules and commands. */
export const ACTION_KINDS = [
  "eject",
  "readmit",
  "takeOver",
  "shed",
  "moveQuota",
  "drain",
] as const;

export type ActionKind = typeof ACTION_KINDS[number];

export interface Rules {
  /** Kinds of automatic action that operators have disabled. */
  readonly held: readonly ActionKind[];
  /** Backend servers that receive no new tasks. */
  readonly drained: readonly string[];
  /** Backend servers that are never ejected; permanently undoes an ejection. */
  readonly neverEjected: readonly string[];
  /** Entry incarnations that an operator has declared permanently gone. */
  readonly gone: readonly string[];
  /** Ratio of failed tasks at which a backend server is ejected, 0 to 1. */
  readonly ejectFailureRatio: number;
  /** Maximum share of all backend servers ejected at the same time, 0 to 1. */
  readonly ejectAtMost: number;
  /** How long an ejected backend server stays out before it is retried. */
  readonly probationMs: number;
  /** Maximum share of started tasks that may be retried, per tenant, 0 to 1. */
  readonly retryShare: number;
}

/** Defaults for rules that the configuration leaves out. */
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

export interface ParsedConfiguration {
  readonly version: number;
  readonly dataCentres: readonly DataCentre[];
  readonly workers: readonly Worker[];
  readonly servers: readonly ExpectedServer[];
  readonly tenants: readonly Tenant[];
  readonly classes: readonly RequestClass[];
  readonly rules: Rules;
}

/** Numeric measurements by name. */
export type Measurements = Readonly<Record<string, number>>;

/** A record of an action that the system took automatically. */
export interface AutomaticAction {
  readonly id: string;
  readonly kind: ActionKind;
  /** The target of the action: a backend server, an entry or a tenant. */
  readonly subject: string;
  readonly why: string;
  /** The measurements behind the decision, by name. */
  readonly figures: Measurements;
  readonly configurationVersion: number;
  readonly atMs: number;
  readonly undoneAtMs?: number | undefined;
}
