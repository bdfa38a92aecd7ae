/**
 * The shape of the configuration document: inventory and rules in one TOML
 * text. The schema reads the TOML names and yields the names of the code.
 */
import { z } from "zod";
import {
  delay,
  duration,
  formatDuration,
  name,
  size,
} from "@coltsfootreach/settings";
import {
  ACTION_KINDS,
  type DataCentre,
  DEFAULT_RULES,
  type ParsedConfiguration,
  type RequestClass,
  type Rules,
  type Tenant,
  type Worker,
} from "@coltsfootreach/types";

const BYTES_PER_MB = 1_048_576;

/** A key of an entry incarnation or another process-made identity. */
const IDENTITY = z.string().min(1).max(128);

const dataCentreSchema = z.strictObject({
  name: name(),
  region: name(),
  delay: delay(),
}).transform(({ delay, ...rest }): DataCentre => ({ ...rest, delayMs: delay }));

export const workerSchema = z.strictObject({
  name: name(),
  data_centre: name(),
  rack: name(),
  cores: z.number().positive(),
  memory: size().refine(
    (bytes) => bytes % BYTES_PER_MB === 0,
    "must be whole megabytes",
  ),
  accelerators: z.int().min(0).default(0),
}).transform(({ data_centre, memory, ...rest }): Worker => ({
  ...rest,
  dataCentre: data_centre,
  memoryMb: memory / BYTES_PER_MB,
}));

export const serverSchema = z.strictObject({
  name: name(),
  worker: name(),
  slots: z.int().min(1),
  connections: z.int().min(1),
});

const tenantSchema = z.strictObject({
  name: name(),
  weight: z.number().positive().default(1),
  starts_per_second: z.number().min(0).default(0),
  max_queued: z.int().min(1).default(20_000),
}).transform(({ starts_per_second, max_queued, ...rest }): Tenant => ({
  ...rest,
  startsPerSecond: starts_per_second,
  maxQueued: max_queued,
}));

const classSchema = z.strictObject({
  name: name(),
  deadline: duration(),
  idempotent: z.boolean(),
}).transform(({ deadline, ...rest }): RequestClass => ({
  ...rest,
  deadlineMs: deadline,
}));

const share = () => z.number().min(0).max(1);

const rulesSchema = z.strictObject({
  held: z.array(z.enum(ACTION_KINDS)).default([]),
  drained: z.array(name()).default([]),
  never_ejected: z.array(name()).default([]),
  gone: z.array(IDENTITY).default([]),
  eject_failure_ratio: share().default(DEFAULT_RULES.ejectFailureRatio),
  eject_at_most: share().default(DEFAULT_RULES.ejectAtMost),
  probation: duration().prefault(
    formatDuration(DEFAULT_RULES.probationMs),
  ),
  retry_share: share().default(DEFAULT_RULES.retryShare),
}).transform((rules): Rules => ({
  held: rules.held,
  drained: rules.drained,
  neverEjected: rules.never_ejected,
  gone: rules.gone,
  ejectFailureRatio: rules.eject_failure_ratio,
  ejectAtMost: rules.eject_at_most,
  probationMs: rules.probation,
  retryShare: rules.retry_share,
}));

/** The document without its version, which the store gives. */
export type EstateContent = Omit<ParsedConfiguration, "version">;

export const estateSchema = z.strictObject({
  /** The version that the document was edited from. */
  base_version: z.int().min(0).optional(),
  data_centres: z.array(dataCentreSchema).min(1, "needs at least one"),
  workers: z.array(workerSchema).default([]),
  servers: z.array(serverSchema).default([]),
  tenants: z.array(tenantSchema).min(1, "needs at least one"),
  classes: z.array(classSchema).min(1, "needs at least one"),
  rules: rulesSchema.prefault({}),
}).transform((document): EstateContent => ({
  dataCentres: document.data_centres,
  workers: document.workers,
  servers: document.servers,
  tenants: document.tenants,
  classes: document.classes,
  rules: document.rules,
}));
