/** Settings of an entry. */
import { z } from "zod";
import { type Placement, PLACEMENTS } from "@coltsfootreach/place";
import { type Address, listenAddress, remoteAddress } from "./address.ts";
import {
  logSection,
  type LogSettings,
  managementSection,
  type ManagementSettings,
  name,
  storeSection,
  type StoreSettings,
  type Timeouts,
  timeoutsSection,
  tlsSection,
  type TlsSettings,
} from "./section.ts";
import { duration, size } from "./unit.ts";

/** Where sides and other entries reach this entry. */
export interface LinkSettings {
  readonly listen: Address;
  /** As `IP:port`; told to others through the table of entries. */
  readonly advertise: string;
}

/** Bounds on what callers may send and on what the entry keeps. */
export interface EntryLimits {
  readonly bodyBytes: number;
  readonly headerBytes: number;
  /** Length of a job's key in characters. */
  readonly keyLength: number;
  /** Tasks in one job. */
  readonly tasks: number;
  /** Job records kept at once. */
  readonly jobs: number;
  /** How long an ended job's record is kept for resubmissions. */
  readonly recordWindowMs: number;
  /** How far a caller's clock may be ahead of the entry's. */
  readonly skewMs: number;
  /** Records of automatic acts kept. */
  readonly acts: number;
}

export interface EntrySettings {
  readonly role: "entry";
  readonly name: string;
  readonly dataCentre: string;
  /** Where callers submit jobs. */
  readonly listen: Address;
  readonly link: LinkSettings;
  readonly store: StoreSettings;
  readonly limits: EntryLimits;
  /** Which policy places tasks; for comparisons. */
  readonly placement: Placement;
  readonly timeouts: Timeouts;
  readonly log: LogSettings;
  /** The operators' interface is off while this is absent. */
  readonly management?: ManagementSettings | undefined;
  readonly tls?: TlsSettings | undefined;
}

const MOST_TASKS = 540;
const LONGEST_KEY = 256;

const linkSection = z.strictObject({
  listen: listenAddress(),
  advertise: remoteAddress(),
});

const limitsSection = z.strictObject({
  body: size().prefault("16MB"),
  header: size().prefault("16KB"),
  key: z.int().min(1).max(LONGEST_KEY).default(128),
  tasks: z.int().min(1).max(MOST_TASKS).default(MOST_TASKS),
  jobs: z.int().min(1).default(200_000),
  record_window: duration().prefault("10m"),
  skew: duration().prefault("5s"),
  acts: z.int().min(1).default(10_000),
}).transform((section): EntryLimits => ({
  bodyBytes: section.body,
  headerBytes: section.header,
  keyLength: section.key,
  tasks: section.tasks,
  jobs: section.jobs,
  recordWindowMs: section.record_window,
  skewMs: section.skew,
  acts: section.acts,
}));

export const entrySchema = z.strictObject({
  role: z.literal("entry"),
  name: name(),
  data_centre: name(),
  listen: listenAddress(),
  link: linkSection,
  store: storeSection,
  limits: limitsSection.prefault({}),
  placement: z.enum(PLACEMENTS).default("expected-delay"),
  timeouts: timeoutsSection.prefault({}),
  log: logSection.prefault({}),
  management: managementSection.optional(),
  tls: tlsSection.optional(),
}).transform(({ data_centre, ...rest }): EntrySettings => ({
  ...rest,
  dataCentre: data_centre,
}));
