/**
 * Messages between the system's processes. They are sent in frames: a frame
 * carries the messages pending when it is sent, and the freshness stamps that
 * fence starts without separate messages.
 */
import type {
  Answer,
  ComputeResources,
  Job,
  JobId,
  Reply,
  TaskId,
  TaskOutcome,
} from "./job.ts";
import type { Announcement, Load, SideIdentity } from "./server.ts";
import type { Member, Table } from "./table.ts";

/** One version of the operators' configuration, in TOML. */
export interface Configuration {
  readonly version: number;
  readonly text: string;
}

// ---- entry to side -------------------------------------------------------

/** Asks a side to run one task at most once. */
export interface Start {
  readonly kind: "start";
  readonly job: JobId;
  readonly index: number;
  /** Increases each time an entry sends this task. */
  readonly attempt: number;
  /** Number of tasks in the job. */
  readonly of: number;
  readonly class: string;
  readonly body: string;
  readonly size: ComputeResources;
  readonly declaredMs: number;
  /** Time left until the job's deadline, in milliseconds. */
  readonly leftMs: number;
}

/** Revokes a start unless the task is already running. */
export interface Revoke {
  readonly kind: "revoke";
  readonly job: JobId;
  readonly index: number;
  /** The attempt to revoke. */
  readonly attempt: number;
  /** Whether to stop the task on the backend server if it is running. */
  readonly stop: boolean;
}

/**
 * Asks a side to record that the job has ended, before the caller is told that
 * some of its tasks were not run.
 */
export interface SealJob {
  readonly kind: "sealJob";
  readonly job: JobId;
  /** Number of tasks in the job. */
  readonly of: number;
}

/** Reports that the job has ended and that the entry stores its answer. */
export interface CloseJob {
  readonly kind: "closeJob";
  readonly job: JobId;
}

/**
 * Requests the evidence of all jobs that the requesting entry owns under
 * `tableVersion` and has no record of. They can include jobs that it started
 * itself and handed over to an entry that was lost since.
 */
export interface CollectEvidence {
  readonly kind: "collect";
  readonly tableVersion: number;
  /**
   * Version of the newest table that made the entry give up keys. The entry
   * has records of the jobs that it started since, so the side omits them.
   */
  readonly keptSince: number;
}

/**
 * The entry has declared this registration of the side lost and sends no more
 * starts to it. The side must register again with every entry.
 */
export interface RegistrationLost {
  readonly kind: "registrationLost";
  readonly registration: number;
}

export interface TableUpdate {
  readonly kind: "table";
  readonly table: Table;
}

export interface ConfigurationUpdate {
  readonly kind: "configuration";
  readonly configuration: Configuration;
}

export type EntryMessage =
  | Start
  | Revoke
  | CloseJob
  | SealJob
  | CollectEvidence
  | RegistrationLost
  | TableUpdate
  | ConfigurationUpdate;

export interface EntryFrame {
  readonly entry: string;
  /**
   * Increases with each frame from this entry to this side, across streams. A
   * side drops a frame that is not newer than the last one it processed.
   */
  readonly sequence: number;
  readonly tableVersion: number;
  readonly configurationVersion: number;
  /** The newest stamp of the side that the entry has received. */
  readonly echoedStampMs: number;
  /**
   * The newest stamp of the side that the entry had received when it began a
   * store read that returned `tableVersion`; -1 if there is none.
   */
  readonly readStampMs: number;
  /** Sequence number of the last side frame that the entry has processed. */
  readonly ack: number;
  readonly messages: readonly EntryMessage[];
}

// ---- side to entry -------------------------------------------------------

/** First message on a stream; sent again whenever its content changes. */
export interface Hello {
  readonly kind: "hello";
  readonly identity: SideIdentity;
  /** Increases when an entry has declared the previous registration lost. */
  readonly registration: number;
  /** Absent while no backend server is announced. */
  readonly announcement?: Announcement | undefined;
  /** A draining side accepts no new starts. */
  readonly draining: boolean;
}

/** How a started task ended. */
export interface TaskResult {
  readonly kind: "result";
  readonly job: JobId;
  readonly outcome: TaskOutcome;
}

/** A refused start: this attempt did not run and never will. */
export interface StartRefusal {
  readonly kind: "refused";
  readonly job: JobId;
  readonly index: number;
  /** The refused attempt; later attempts may still be valid. */
  readonly attempt: number;
  readonly reason: StartRefusalReason;
}

export type StartRefusalReason =
  | "staleTable"
  | "unconfirmedTable"
  | "notOwner"
  | "notRegistered"
  | "draining"
  | "noServer"
  | "queueFull"
  | "doesNotFit"
  | "evidenceFull"
  | "revoked"
  | "connectionRefused"
  | "deadlinePassed";

/** What a side knows about one task. */
export interface TaskEvidence {
  readonly index: number;
  readonly state: "running" | "finished";
  /** The attempt that started the task; 0 once the task has finished. */
  readonly attempt: number;
  /** Absent while the task is running or after its result was dropped. */
  readonly outcome?: TaskOutcome | undefined;
}

export interface JobEvidence {
  readonly job: JobId;
  /** Whether the job has ended, so that none of its tasks may start. */
  readonly sealed: boolean;
  readonly of: number;
  readonly tasks: readonly TaskEvidence[];
}

/** The complete reply to an evidence request, in one message. */
export interface Evidence {
  readonly kind: "evidence";
  readonly tableVersion: number;
  readonly jobs: readonly JobEvidence[];
}

/** Confirms that the side has recorded the end of the job. */
export interface JobSealed {
  readonly kind: "jobSealed";
  readonly job: JobId;
}

/** The side starts no more tasks and is about to leave. */
export interface Goodbye {
  readonly kind: "goodbye";
}

export type SideMessage =
  | Hello
  | TaskResult
  | StartRefusal
  | Evidence
  | JobSealed
  | Goodbye;

export interface SideFrame {
  readonly side: string;
  readonly incarnation: string;
  /** Incarnation of the receiving entry; absent until it has sent a frame. */
  readonly to?: string | undefined;
  /** Increases with each frame to this entry, across streams. */
  readonly sequence: number;
  /** The side's monotonic clock in milliseconds. */
  readonly stampMs: number;
  readonly tableVersion: number;
  readonly configurationVersion: number;
  readonly load: Load;
  /** The part of the load that the receiving entry has started. */
  readonly held: number;
  readonly messages: readonly SideMessage[];
}

// ---- entry to entry ------------------------------------------------------

/** A submission that the sender received for a job that the receiver owns. */
export interface ForwardedSubmit {
  readonly kind: "submit";
  readonly request: number;
  readonly job: Job;
  /** Whether to reply when the job has ended instead of on admission. */
  readonly wait: boolean;
}

export interface ForwardedRead {
  readonly kind: "read";
  readonly request: number;
  readonly job: JobId;
}

export interface ForwardedCancel {
  readonly kind: "cancel";
  readonly request: number;
  readonly job: JobId;
}

export interface ForwardedReply {
  readonly kind: "reply";
  readonly request: number;
  readonly reply: Reply;
}

/** Reports that the sender does not own the key under its newer table. */
export interface NotOwner {
  readonly kind: "notOwner";
  readonly request: number;
}

/** Job records sent to their next owner when an entry drains or joins. */
export interface HandOver {
  readonly kind: "handOver";
  readonly batch: number;
  readonly tableVersion: number;
  readonly records: readonly JobRecordSnapshot[];
  /** Side registrations known to the sender. */
  readonly sides: readonly Registration[];
  /** Side registrations that the sender knows to have ended. */
  readonly endedSides: readonly Registration[];
  /** When the last ended registration known to the sender ended, if any. */
  readonly sideEnding?: RegistrationEnd | undefined;
  readonly doubt: EvidenceGaps;
}

/** The time at which the end of a side's registration was detected. */
export interface RegistrationEnd {
  /** In Unix milliseconds. */
  readonly wallMs: number;
  readonly ageMs: number;
}

/** Gaps in an entry's knowledge of the keys that it hands over. */
export interface EvidenceGaps {
  /**
   * Version of the newest table that the entry adopted before it had all
   * evidence of the keys that it owned; 0 if there is none.
   */
  readonly tableVersion: number;
  /**
   * Jobs without a record that were first submitted before this Unix time, in
   * milliseconds, may have run.
   */
  readonly bornBeforeWallMs: number;
  /** How much longer `bornBeforeWallMs` applies, in milliseconds. */
  readonly leftMs: number;
  /** Whether the entry has just joined and has no records of its own. */
  readonly isNew: boolean;
}

/** Confirms that the receiver owns and has stored all records of a batch. */
export interface HandOverAck {
  readonly kind: "handOverTaken";
  readonly batch: number;
}

/** Side registrations that the sender has permanently declared lost. */
export interface SidesLost {
  readonly kind: "sidesLost";
  readonly sides: readonly Registration[];
}

/** One registration of one incarnation of a side process. */
export interface Registration {
  readonly incarnation: string;
  readonly registration: number;
  /** Name of the side, stable across restarts; absent if not known. */
  readonly side?: string | undefined;
}

export type PeerMessage =
  | ForwardedSubmit
  | ForwardedRead
  | ForwardedCancel
  | ForwardedReply
  | NotOwner
  | HandOver
  | HandOverAck
  | SidesLost
  | TableUpdate
  | ConfigurationUpdate;

/** Starts per second that an entry requests for one tenant. */
export interface TenantDemand {
  readonly tenant: string;
  readonly perSecond: number;
}

export interface PeerFrame {
  readonly entry: string;
  readonly tableVersion: number;
  readonly configurationVersion: number;
  /** The sender's demand for each tenant with a quota, if known. */
  readonly demands?: readonly TenantDemand[] | undefined;
  readonly messages: readonly PeerMessage[];
}

/** The state of one task in a job record. */
export type TaskState =
  | { readonly kind: "waiting" }
  | {
    readonly kind: "sent";
    /** Incarnation of the side. */
    readonly side: string;
    readonly attempt: number;
  }
  | { readonly kind: "ended"; readonly outcome: TaskOutcome };

/**
 * A job record as sent between entries. The job is absent when only evidence of
 * it is known.
 */
export interface JobRecordSnapshot {
  readonly id: JobId;
  readonly job?: Job | undefined;
  /** Time since the record was created, in milliseconds. */
  readonly ageMs: number;
  /** Time left until the deadline, in milliseconds; may be negative. */
  readonly leftMs: number;
  readonly tasks: readonly TaskState[];
  readonly answer?: Answer | undefined;
}

export type { Member, TaskId as TaskName };
