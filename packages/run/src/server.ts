/** What a backend server says of itself, and what a side says of it. */
import type { Resources } from "./job.ts";

/** One life of a backend server. */
export interface Announcement {
  readonly id: string;
  /** Tells lives under one id apart: the start as Unix milliseconds. */
  readonly born: number;
  readonly service: string;
  /** Where it takes orders, as `IP:port`. */
  readonly address: string;
  readonly dataCentre: string;
  readonly capacity: Resources;
  /** Its kind and its rack. */
  readonly labels: readonly string[];
  readonly isDraining: boolean;
  /** Least time left while it drains. */
  readonly remainingMs: number;
  /** Rises with each announcement of one life. */
  readonly sequence: number;
}

/** A side's last word on its backend server. */
export interface ServerReport {
  readonly id: string;
  readonly born: number;
  readonly service: string;
  readonly capacity: Resources;
  readonly labels: readonly string[];
  /** Room that no run takes, those being stopped included. */
  readonly room: Resources;
  /** Takes new runs. */
  readonly isOpen: boolean;
  /** Run time over the declared time, as learnt from ends and progress. */
  readonly slowness: number;
  /** Failures or standstill seen lately: only a few runs at a time. */
  readonly isSuspect: boolean;
}
