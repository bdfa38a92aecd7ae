/** What an entry process is made of, and what it offers. */
import type { RecordOptions } from "@coltsfootreach/admit";
import type {
  ConfigurationHolder,
  KnownVersion,
} from "@coltsfootreach/configure";
import type {
  Ask,
  EntryCore,
  EntryOptions as CoreOptions,
} from "@coltsfootreach/coordinate";
import type { LinkTarget } from "@coltsfootreach/link";
import type { Log } from "@coltsfootreach/log";
import type { ActionJournal, StoreStatus } from "@coltsfootreach/manage";
import type { Store } from "@coltsfootreach/store";
import type { Configuration, JobId, Reply } from "@coltsfootreach/types";
import type { ServerCredentials } from "@grpc/grpc-js";
import type { PeerStreams } from "./peer_streams.ts";
import type { SideStreams } from "./side_streams.ts";

export interface EntryOptions {
  readonly name: string;
  readonly dataCentre: string;
  /** Where to listen for sides and entries, as `IP:port`. */
  readonly listen: string;
  /** How others reach that; port 0 stands for the port that was bound. */
  readonly advertise: string;
  readonly store: Store;
  readonly prefix: string;
  readonly leaseSeconds: number;
  readonly freshnessMs: number;
  readonly heartbeatMs: number;
  readonly sideLostMs: number;
  readonly doubtMs: number;
  readonly drainMs: number;
  readonly maxHeld: number;
  readonly records: RecordOptions;
  /** Records of automatic acts kept. */
  readonly maxActs: number;
  readonly holder: ConfigurationHolder;
  /** Does the slow part of reading a configuration before it is learned. */
  prepareConfiguration(configuration: Configuration): Promise<void>;
  /** Makes what places and bounds tasks; called for each run of the entry. */
  createPlanner(capacity: Capacity): Planner;
  readonly credentials?: {
    readonly server: ServerCredentials;
    readonly client: LinkTarget["credentials"];
  } | undefined;
  readonly log: Log;
}

/** What an entry can count on now. */
export interface Capacity {
  /** Its share of the slots of live sides. */
  slots(): number;
  /** Entries in the table, this one included. */
  entries(): number;
}

export type Planner = Pick<CoreOptions, "queue" | "policy" | "limits">;

export interface Entry {
  /** Resolves with the reply; never rejects. */
  request(job: JobId, ask: Ask): Promise<Reply>;
  incarnation(): string;
  /** True while the balancer should send callers here. */
  isReady(): boolean;
  core(): EntryCore;
  readonly journal: ActionJournal;
  /** Newest version that any process was heard to have, and since when. */
  newestVersion(): KnownVersion;
  storeStatus(): StoreStatus;
  counts(): EntryCounts;
  /** Hands over its jobs, answers what it holds, and leaves. */
  stop(): Promise<void>;
}

export type EntryCounts = {
  readonly sides: ReturnType<SideStreams["counts"]>;
  readonly peers: ReturnType<PeerStreams["counts"]>;
  readonly store: ReturnType<Store["calls"]>;
};
