/** State that a backend server announces and that its side reports. */
import type { Resources } from "./job.ts";

/** Announces one instance of a backend server. */
export interface Announcement {
  readonly id: string;
  /** Start time in Unix milliseconds; distinguishes instances with one id. */
  readonly born: number;
  readonly service: string;
  /** Address that accepts run requests, as `IP:port`. */
  readonly address: string;
  readonly dataCentre: string;
  readonly capacity: Resources;
  /** Server type and rack. */
  readonly labels: readonly string[];
  readonly isDraining: boolean;
  /** Minimum time left until shutdown while draining. */
  readonly remainingMs: number;
  /** Increases with each announcement of one instance. */
  readonly sequence: number;
}

/** Latest state of a backend server, as reported by its side. */
export interface ServerReport {
  readonly id: string;
  readonly born: number;
  readonly service: string;
  readonly capacity: Resources;
  readonly labels: readonly string[];
  /** Capacity not used by any run; runs being stopped still count as used. */
  readonly room: Resources;
  /** Whether the server accepts new runs. */
  readonly isOpen: boolean;
  /** Ratio of actual to declared run time, from completed and running tasks. */
  readonly slowness: number;
  /** Runs failed or stalled recently; only a few may run concurrently. */
  readonly isSuspect: boolean;
}
