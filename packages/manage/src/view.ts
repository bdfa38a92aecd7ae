/**
 * Read-only view of one entry for operators. Queries return state and change
 * nothing.
 */
import type {
  ConfigurationSource,
  ConfigurationStatus,
  KnownVersion,
  Laggard,
  RejectedVersion,
} from "@coltsfootreach/configure";
import type {
  Answer,
  AutomaticAction,
  Table,
  TaskOutcome,
} from "@coltsfootreach/types";

/** The queries that an entry implements for the management API. */
export interface EntryView {
  status(): EntryStatus;
  /** Returns the recorded actions from the oldest to the newest. */
  acts(): readonly AutomaticAction[];
  act(id: string): AutomaticAction | undefined;
  /** Returns undefined if this entry has no record of the job. */
  job(tenant: string, key: string): JobExplanation | undefined;
  top(): TopReport;
}

/** Active configuration, table and known processes of an entry. */
export interface EntryStatus {
  readonly entry: string;
  readonly incarnation: string;
  /** Time on the entry's clock in Unix milliseconds, as all times here. */
  readonly nowMs: number;
  readonly configuration: ActiveConfiguration;
  /** Newest version known to the entry, even if it is not active here. */
  readonly newest: KnownVersion;
  /** Configuration of each process, including this one. */
  readonly processes: readonly ConfigurationStatus[];
  readonly table: Table;
  readonly store: StoreStatus;
  /** Backend servers listed in the inventory. */
  readonly expectedServers: readonly string[];
  /** Backend servers that have announced themselves. */
  readonly presentServers: readonly string[];
}

export interface ActiveConfiguration {
  /** 0 until a configuration is active. */
  readonly version: number;
  readonly sinceMs?: number | undefined;
  readonly source?: ConfigurationSource | undefined;
  readonly rejected?: RejectedVersion | undefined;
}

export interface StoreStatus {
  readonly reachable: boolean;
  /** Time of the last change of `reachable`. */
  readonly sinceMs: number;
}

/** Response body of `GET /status`. */
export interface StatusReport extends EntryStatus {
  readonly laggards: readonly Laggard[];
  /** Servers that are in the inventory but not present. */
  readonly missingServers: readonly string[];
  /** Servers that are present but not in the inventory. */
  readonly unexpectedServers: readonly string[];
}

/** State of a job and the reason for it. */
export interface JobExplanation {
  readonly tenant: string;
  readonly key: string;
  readonly class: string;
  readonly state: "waiting" | "running" | "ended";
  /** The entry that owns the job. */
  readonly entry: string;
  readonly tableVersion: number;
  readonly configurationVersion: number;
  /** Milliseconds since the record was created. */
  readonly ageMs: number;
  /** Milliseconds until the deadline; negative after it. */
  readonly leftMs: number;
  /** One sentence about what the job waits for or how it ended. */
  readonly why: string;
  readonly tasks: readonly TaskExplanation[];
  readonly answer?: Answer | undefined;
}

export interface TaskExplanation {
  readonly index: number;
  readonly state: "waiting" | "sent" | "ended";
  /** Number of starts sent so far. */
  readonly attempts: number;
  readonly side?: string | undefined;
  /** One sentence about what the task waits for or how it ended. */
  readonly why: string;
  readonly outcome?: TaskOutcome | undefined;
}

/** Response body of `GET /top`: current activity known to one entry. */
export interface TopReport {
  readonly entry: string;
  readonly nowMs: number;
  readonly tenants: readonly TenantTopRow[];
  readonly servers: readonly ServerTopRow[];
}

/** Counts for one tenant and class over the jobs that this entry owns. */
export interface TenantTopRow {
  readonly tenant: string;
  readonly class: string;
  /** Tasks waiting for a slot. */
  readonly waiting: number;
  /** Tasks sent to a side that have not ended. */
  readonly running: number;
  /** Jobs ended since the entry started. */
  readonly ended: number;
  readonly failed: number;
  readonly late: number;
  readonly refused: number;
  /** Distribution of job response times in milliseconds. */
  readonly response: HistogramSummary;
}

export interface HistogramSummary {
  readonly count: number;
  readonly p50: number;
  readonly p99: number;
  readonly p999: number;
  readonly max: number;
  readonly buckets: readonly Bucket[];
}

/** Number of values up to `upTo` and above that of the previous bucket. */
export interface Bucket {
  readonly upTo: number;
  readonly count: number;
}

/** A backend server with its load from all entries, as last reported. */
export interface ServerTopRow {
  readonly server: string;
  readonly side: string;
  readonly worker: string;
  readonly dataCentre: string;
  readonly state: "in" | "ejected" | "draining" | "lagging" | "lost";
  readonly slots: number;
  readonly running: number;
  readonly queued: number;
  /** Fraction of recent tasks that failed, from 0 to 1. */
  readonly failureRatio: number;
}
