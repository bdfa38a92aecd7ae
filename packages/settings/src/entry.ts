/** Settings of an entry. */
import { z } from "zod";
import { type Placement, PLACEMENTS } from "@coltsfootreach/place";
import {
  type Address,
  listenAddressSchema,
  remoteAddressSchema,
} from "./address.ts";
import {
  logSchema,
  type LogSettings,
  managementSchema,
  type ManagementSettings,
  nameSchema,
  storeSchema,
  type StoreSettings,
  type Timeouts,
  timeoutsSchema,
  tlsSchema,
  type TlsSettings,
} from "./section.ts";
import { durationSchema, sizeSchema } from "./unit.ts";

/** Address for connections from sides and from other entries. */
export interface LinkSettings {
  readonly listen: Address;
  /** As `IP:port`; published to other processes in the table of entries. */
  readonly advertise: string;
}

/** Limits on callers' requests and on the records that the entry keeps. */
export interface EntryLimits {
  readonly bodyBytes: number;
  readonly headerBytes: number;
  /** Maximum length of a job's key in characters. */
  readonly keyLength: number;
  /** Maximum number of tasks in one job. */
  readonly tasks: number;
  /** Maximum number of job records kept at the same time. */
  readonly jobs: number;
  /** How long an ended job's record is kept to answer resubmissions. */
  readonly recordWindowMs: number;
  /** Maximum lead of a caller's clock over the entry's clock. */
  readonly skewMs: number;
  /** Maximum number of records of automatic actions. */
  readonly acts: number;
}

export interface EntrySettings {
  readonly role: "entry";
  readonly name: string;
  readonly dataCentre: string;
  /** Listen address of the callers' interface. */
  readonly listen: Address;
  readonly link: LinkSettings;
  readonly store: StoreSettings;
  readonly limits: EntryLimits;
  /** The placement policy; selectable so that policies can be compared. */
  readonly placement: Placement;
  readonly timeouts: Timeouts;
  readonly log: LogSettings;
  /** The management interface is disabled when this is absent. */
  readonly management?: ManagementSettings | undefined;
  readonly tls?: TlsSettings | undefined;
}

const MAX_TASKS_PER_JOB = 540;
const MAX_KEY_LENGTH = 256;

const linkSchema = z.strictObject({
  listen: listenAddressSchema(),
  advertise: remoteAddressSchema(),
});

const limitsSchema = z.strictObject({
  body: sizeSchema().prefault("16MB"),
  header: sizeSchema().prefault("16KB"),
  key: z.int().min(1).max(MAX_KEY_LENGTH).default(128),
  tasks: z.int().min(1).max(MAX_TASKS_PER_JOB).default(MAX_TASKS_PER_JOB),
  jobs: z.int().min(1).default(200_000),
  record_window: durationSchema().prefault("10m"),
  skew: durationSchema().prefault("5s"),
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
  name: nameSchema(),
  data_centre: nameSchema(),
  listen: listenAddressSchema(),
  link: linkSchema,
  store: storeSchema,
  limits: limitsSchema.prefault({}),
  placement: z.enum(PLACEMENTS).default("expected-delay"),
  timeouts: timeoutsSchema.prefault({}),
  log: logSchema.prefault({}),
  management: managementSchema.optional(),
  tls: tlsSchema.optional(),
}).transform(({ data_centre, ...rest }): EntrySettings => ({
  ...rest,
  dataCentre: data_centre,
}));
