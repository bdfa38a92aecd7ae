/**
 * Sections that settings of several roles share. Each schema accepts the TOML
 * key names and converts them to the property names used in code.
 */
import { z } from "zod";
import { listenAddressSchema, originSchema } from "./address.ts";
import { durationSchema } from "./unit.ts";

/** Shorter tokens are too easy to guess. */
const MIN_TOKEN_LENGTH = 16;

/** Names appear in URLs of the interfaces and in keys of the store. */
const NAME_PATTERN = /^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$/;

/** The name of a process, worker, server, tenant or class. */
export function nameSchema() {
  return z.string().regex(
    NAME_PATTERN,
    "must be 1 to 63 letters, digits, dots, underscores or hyphens, starting with a letter or digit",
  );
}

/** A bearer token. */
export function tokenSchema() {
  return z.string().min(
    MIN_TOKEN_LENGTH,
    `must have at least ${MIN_TOKEN_LENGTH} characters`,
  );
}

/** Connection to the platform's key-value service. */
export interface StoreSettings {
  /** HTTP origins, tried in this order. */
  readonly endpoints: readonly string[];
  /** Timeout of each call. */
  readonly timeoutMs: number;
  /** Prefix of every key, so that several fleets can share one service. */
  readonly prefix: string;
}

export const storeSchema = z.strictObject({
  endpoints: z.array(originSchema()).min(1, "must have at least one endpoint"),
  timeout: durationSchema().prefault("1s"),
  prefix: z.string().default("coltsfootreach/"),
}).transform((section): StoreSettings => ({
  endpoints: section.endpoints,
  timeoutMs: section.timeout,
  prefix: section.prefix,
}));

/** Paths of the certificate, its private key and the trusted CA certificate. */
export interface TlsSettings {
  readonly certificate: string;
  readonly key: string;
  readonly authority: string;
}

export const tlsSchema = z.strictObject({
  certificate: z.string().min(1),
  key: z.string().min(1),
  authority: z.string().min(1),
});

/** The management interface that an entry serves to operators. */
export interface ManagementSettings {
  readonly listen: { readonly host: string; readonly port: number };
  readonly token: string;
}

export const managementSchema = z.strictObject({
  listen: listenAddressSchema(),
  token: tokenSchema(),
});

export type LogLevel = "error" | "warn" | "info" | "debug";

export interface LogSettings {
  readonly level: LogLevel;
}

export const logSchema = z.strictObject({
  level: z.enum(["error", "warn", "info", "debug"]).default("info"),
});

/** Timeouts that entries and sides share, in milliseconds. */
export interface Timeouts {
  /** How long a side keeps starting tasks without a confirmed table. */
  readonly freshnessMs: number;
  /** TTL of an entry's lease in the store; a whole number of seconds. */
  readonly leaseMs: number;
  /** Interval at which heartbeats are sent on an idle link. */
  readonly heartbeatMs: number;
  /** How long a side may be silent before it is excluded from placement. */
  readonly sideLostMs: number;
  /** Maximum duration of a graceful shutdown. */
  readonly drainMs: number;
}

const MS_PER_SECOND = 1_000;

export const timeoutsSchema = z.strictObject({
  freshness: durationSchema().prefault("3s"),
  lease: durationSchema().prefault("5s"),
  heartbeat: durationSchema().prefault("1400ms"),
  side_lost: durationSchema().prefault("3s"),
  drain: durationSchema().prefault("30s"),
}).refine((section) => section.lease % MS_PER_SECOND === 0, {
  path: ["lease"],
  message: "must be a whole number of seconds",
}).refine((section) => section.heartbeat < section.side_lost, {
  path: ["heartbeat"],
  message: "must be shorter than side_lost",
}).refine((section) => section.heartbeat < section.freshness, {
  path: ["heartbeat"],
  message: "must be shorter than freshness",
}).transform((section): Timeouts => ({
  freshnessMs: section.freshness,
  leaseMs: section.lease,
  heartbeatMs: section.heartbeat,
  sideLostMs: section.side_lost,
  drainMs: section.drain,
}));
