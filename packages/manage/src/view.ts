/**
 * What operators can ask of one entry. All of it is queries: they return state
 * and change nothing.
 */
import type {
  ConfigurationSource,
  ConfigurationStatus,
  KnownVersion,
  Laggard,
  Rejected,
} from "@coltsfootreach/configure";
import type {
  Answer,
  AutomaticAction,
  Table,
  TaskOutcome,
} from "@coltsfootreach/types";

/** The interface that an entry implements for its operators. */
export interface EntryView {
  status(): EntryStatus;
  /** Kept acts from the oldest to the newest. */
  acts(): readonly AutomaticAction[];
  act(id: string): AutomaticAction | undefined;
  /** Undefined when this entry holds no record of the job. */
  job(tenant: string, key: string): JobExplanation | undefined;
  top(): Top;
}

/** An entry, what it has in force and whom it sees. */
export interface EntryStatus {
  readonly entry: string;
  readonly incarnation: string;
  /** The entry's clock in Unix milliseconds; other times are on it too. */
  readonly nowMs: number;
  readonly configuration: ConfigurationInForce;
  /** The newest version that the entry knows of, in force here or not. */
  readonly newest: KnownVersion;
  /** The configuration in each process, this one included. */
  readonly processes: readonly ConfigurationStatus[];
  readonly table: Table;
  readonly store: StoreStatus;
  /** Backend servers that the inventory expects. */
  readonly expectedServers: readonly string[];
  /** Backend servers that have announced themselves. */
  readonly presentServers: readonly string[];
}

export interface ConfigurationInForce {
  /** 0 while none is in force. */
  readonly version: number;
  readonly sinceMs?: number | undefined;
  readonly source?: ConfigurationSource | undefined;
  readonly rejected?: Rejected | undefined;
}

export interface StoreStatus {
  readonly reachable: boolean;
  /** Since when it is or is not reachable. */
  readonly sinceMs: number;
}

/** The reply to `GET /status`. */
export interface StatusReport extends EntryStatus {
  readonly laggards: readonly Laggard[];
  /** Expected by the inventory and not present. */
  readonly missingServers: readonly string[];
  /** Present and not in the inventory. */
  readonly unexpectedServers: readonly string[];
}

/** Where a job stands and why. */
export interface JobExplanation {
  readonly tenant: string;
  readonly key: string;
  readonly class: string;
  readonly state: "waiting" | "running" | "ended";
  /** The entry that owns the job. */
  readonly entry: string;
  readonly tableVersion: number;
  readonly configurationVersion: number;
  /** Time since the record was made in milliseconds. */
  readonly ageMs: number;
  /** Time until the deadline; negative after it. */
  readonly leftMs: number;
  /** One sentence on what the job waits for or how it ended. */
  readonly why: string;
  readonly tasks: readonly TaskExplanation[];
  readonly answer?: Answer | undefined;
}

export interface TaskExplanation {
  readonly index: number;
  readonly state: "waiting" | "sent" | "ended";
  /** Starts sent so far. */
  readonly attempts: number;
  readonly side?: string | undefined;
  /** One sentence on what the task waits for or how it ended. */
  readonly why: string;
  readonly outcome?: TaskOutcome | undefined;
}

/** What is going on, as one entry sees it. */
export interface Top {
  readonly entry: string;
  readonly nowMs: number;
  readonly tenants: readonly TenantTop[];
  readonly servers: readonly ServerTop[];
}

/** One tenant and class, counted over jobs that this entry owns. */
export interface TenantTop {
  readonly tenant: string;
  readonly class: string;
  /** Tasks that wait for a slot. */
  readonly waiting: number;
  /** Tasks that were sent to a side and have not ended. */
  readonly running: number;
  /** Jobs ended since the entry began. */
  readonly ended: number;
  readonly failed: number;
  readonly late: number;
  readonly refused: number;
  /** Response times of jobs in milliseconds. */
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

/** Counts values up to a bound and above that of the bucket before. */
export interface Bucket {
  readonly upTo: number;
  readonly count: number;
}

/** One backend server; its load is from all entries, as its side last said. */
export interface ServerTop {
  readonly server: string;
  readonly side: string;
  readonly worker: string;
  readonly dataCentre: string;
  readonly state: "in" | "ejected" | "draining" | "lagging" | "lost";
  readonly slots: number;
  readonly running: number;
  readonly queued: number;
  /** Share of recent tasks that failed, 0 to 1. */
  readonly failureRatio: number;
}
