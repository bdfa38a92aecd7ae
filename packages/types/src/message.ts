/**
 * Messages between the system's own processes. They travel in frames; a frame
 * carries what is pending at the moment it is sent, and the freshness stamps
 * that keep starts fenced without messages of their own.
 */
import type {
  Answer,
  Job,
  JobId,
  Reply,
  Size,
  TaskName,
  TaskOutcome,
} from "./job.ts";
import type { Announcement, Load, SideIdentity } from "./server.ts";
import type { Member, Table } from "./table.ts";

/** One version of the operators' configuration, as TOML. */
export interface Configuration {
  readonly version: number;
  readonly text: string;
}

// ---- entry to side -------------------------------------------------------

/** Asks a side to run one task, once. */
export interface Start {
  readonly kind: "start";
  readonly job: JobId;
  readonly index: number;
  /** Rises with each send of this task by one entry. */
  readonly attempt: number;
  /** Number of tasks in the job. */
  readonly of: number;
  readonly class: string;
  readonly body: string;
  readonly size: Size;
  readonly declaredMs: number;
  /** Time left until the job's deadline in milliseconds. */
  readonly leftMs: number;
}

/** Takes a start back unless the task runs already. */
export interface Revoke {
  readonly kind: "revoke";
  readonly job: JobId;
  readonly index: number;
  /** The attempt that is taken back. */
  readonly attempt: number;
  /** Also stops the task on the backend server if it runs. */
  readonly stop: boolean;
}

/**
 * Asks a side to remember that the job has ended, before its caller is told
 * that some of its tasks were not run.
 */
export interface SealJob {
  readonly kind: "sealJob";
  readonly job: JobId;
  /** Number of tasks in the job. */
  readonly of: number;
}

/** The job has ended and its answer is kept by the entry. */
export interface CloseJob {
  readonly kind: "closeJob";
  readonly job: JobId;
}

/**
 * Asks for the evidence of all jobs that the asking entry owns under
 * `tableVersion` and does not know itself; it may have handed over jobs that it
 * had started to an entry that is lost.
 */
export interface Collect {
  readonly kind: "collect";
  readonly tableVersion: number;
  /**
   * The newest table by which the entry gave up keys. It knows the jobs that
   * it has started since, so the side leaves them out.
   */
  readonly keptSince: number;
}

/**
 * The entry has declared this registration of the side lost and will never
 * send it a start. The side must register with every entry anew.
 */
export interface RegistrationLost {
  readonly kind: "registrationLost";
  readonly registration: number;
}

export interface TableNews {
  readonly kind: "table";
  readonly table: Table;
}

export interface ConfigurationNews {
  readonly kind: "configuration";
  readonly configuration: Configuration;
}

export type EntryMessage =
  | Start
  | Revoke
  | CloseJob
  | SealJob
  | Collect
  | RegistrationLost
  | TableNews
  | ConfigurationNews;

export interface EntryFrame {
  readonly entry: string;
  /**
   * Rises with each frame from this entry to this side over all their streams.
   * A side drops a frame that is not newer than the last one it took in.
   */
  readonly sequence: number;
  readonly tableVersion: number;
  readonly configurationVersion: number;
  /** The newest of the side's stamps that the entry has seen. */
  readonly echoedStampMs: number;
  /**
   * The newest of the side's stamps that the entry had seen when it began a
   * read of the store that returned `tableVersion`; -1 when there is none.
   */
  readonly readStampMs: number;
  /** Number of the last side frame whose messages the entry has taken in. */
  readonly ack: number;
  readonly messages: readonly EntryMessage[];
}

// ---- side to entry -------------------------------------------------------

/** First message on a stream, and again whenever what it says changes. */
export interface Hello {
  readonly kind: "hello";
  readonly identity: SideIdentity;
  /** Rises when an entry has declared the earlier registration lost. */
  readonly registration: number;
  /** Absent while no backend server has announced itself. */
  readonly announcement?: Announcement | undefined;
  /** A draining side takes no new starts. */
  readonly draining: boolean;
}

/** How a started task ended. */
export interface Result {
  readonly kind: "result";
  readonly job: JobId;
  readonly outcome: TaskOutcome;
}

/** A start that was not run and never will be by this request. */
export interface Refused {
  readonly kind: "refused";
  readonly job: JobId;
  readonly index: number;
  /** The attempt that was refused; later ones may stand. */
  readonly attempt: number;
  readonly reason: RefusedReason;
}

export type RefusedReason =
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

/** What a side knows of one task. */
export interface TaskEvidence {
  readonly index: number;
  readonly state: "running" | "finished";
  /** The attempt that started it; 0 once it has finished. */
  readonly attempt: number;
  /** Absent while running, or when the result has been dropped. */
  readonly outcome?: TaskOutcome | undefined;
}

export interface JobEvidence {
  readonly job: JobId;
  /** True when the job has ended, so that nothing of it may start. */
  readonly sealed: boolean;
  readonly of: number;
  readonly tasks: readonly TaskEvidence[];
}

/** The reply to `Collect`: all the side knows, whole. */
export interface Evidence {
  readonly kind: "evidence";
  readonly tableVersion: number;
  readonly jobs: readonly JobEvidence[];
}

/** The side remembers that the job has ended. */
export interface JobSealed {
  readonly kind: "jobSealed";
  readonly job: JobId;
}

/** The side will start nothing any more and leaves. */
export interface Goodbye {
  readonly kind: "goodbye";
}

export type SideMessage =
  | Hello
  | Result
  | Refused
  | Evidence
  | JobSealed
  | Goodbye;

export interface SideFrame {
  readonly side: string;
  readonly incarnation: string;
  /** The run of the entry that the messages are for, once it has spoken. */
  readonly to?: string | undefined;
  /** Rises with each frame to this entry over all their streams. */
  readonly sequence: number;
  /** The side's own monotonic clock in milliseconds. */
  readonly stampMs: number;
  readonly tableVersion: number;
  readonly configurationVersion: number;
  readonly load: Load;
  /** How much of the load the receiving entry has started. */
  readonly held: number;
  readonly messages: readonly SideMessage[];
}

// ---- entry to entry ------------------------------------------------------

/** A submission received here and owned there. */
export interface ForwardedSubmit {
  readonly kind: "submit";
  readonly request: number;
  readonly job: Job;
  /** False when the reply is to come as soon as the job is admitted. */
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

/** The receiver does not own the key under its newer table. */
export interface NotOwner {
  readonly kind: "notOwner";
  readonly request: number;
}

/** A job record given to its next owner when an entry drains or one joins. */
export interface HandOver {
  readonly kind: "handOver";
  readonly batch: number;
  readonly tableVersion: number;
  readonly records: readonly RecordSnapshot[];
  /** Registrations of sides known to the sender. */
  readonly sides: readonly Registration[];
  /** Registrations that the sender knows to be over. */
  readonly endedSides: readonly Registration[];
  /** When the last registration known to the sender ended, if ever. */
  readonly sideEnding?: SideEnding | undefined;
  readonly doubt: Doubt;
}

/** When a registration of a side was found to have ended. */
export interface SideEnding {
  /** In Unix milliseconds. */
  readonly wallMs: number;
  readonly ageMs: number;
}

/** What an entry cannot tell of the keys that it gives up. */
export interface Doubt {
  /**
   * The newest table that it adopted before it had all evidence of the keys
   * it owned; 0 if never.
   */
  readonly tableVersion: number;
  /** Keys that it does not know and that were born before may have run. */
  readonly bornBeforeWallMs: number;
  /** How much longer that holds in milliseconds. */
  readonly leftMs: number;
  /** It has just joined and knows nothing of its own. */
  readonly isNew: boolean;
}

/** The receiver owns and holds all records of a batch. */
export interface HandOverTaken {
  readonly kind: "handOverTaken";
  readonly batch: number;
}

/** Registrations that the sender has declared lost, for good. */
export interface SidesLost {
  readonly kind: "sidesLost";
  readonly sides: readonly Registration[];
}

/** One registration of one run of a side process. */
export interface Registration {
  readonly incarnation: string;
  readonly registration: number;
  /** Name of the side, which its later runs share; absent if not known. */
  readonly side?: string | undefined;
}

export type PeerMessage =
  | ForwardedSubmit
  | ForwardedRead
  | ForwardedCancel
  | ForwardedReply
  | NotOwner
  | HandOver
  | HandOverTaken
  | SidesLost
  | TableNews
  | ConfigurationNews;

export interface PeerFrame {
  readonly entry: string;
  readonly tableVersion: number;
  readonly configurationVersion: number;
  readonly messages: readonly PeerMessage[];
}

/** The state of one task inside a job record. */
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
 * A job record as it travels between entries. The job is absent when only
 * evidence of it is known.
 */
export interface RecordSnapshot {
  readonly id: JobId;
  readonly job?: Job | undefined;
  /** Time since the record was made in milliseconds. */
  readonly ageMs: number;
  /** Time left until the deadline in milliseconds; may be negative. */
  readonly leftMs: number;
  readonly tasks: readonly TaskState[];
  readonly answer?: Answer | undefined;
}

export type { Member, TaskName };
