/**
 * Sections that several kinds of settings share. Each schema reads the TOML
 * names and yields the names of the code.
 */
import { z } from "zod";
import { listenAddress, origin } from "./address.ts";
import { duration } from "./unit.ts";

/** A token shorter than this is guessed too easily. */
const SHORTEST_TOKEN = 16;

/** Names go into addresses of the interfaces and into keys of the store. */
const NAME = /^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$/;

/** The name of a process, worker, server, tenant or class. */
export function name() {
  return z.string().regex(
    NAME,
    "a name has 1 to 63 letters, digits, dots, underscores or hyphens",
  );
}

/** A bearer token. */
export function token() {
  return z.string().min(
    SHORTEST_TOKEN,
    `must have at least ${SHORTEST_TOKEN} characters`,
  );
}

/** The platform's key-value service. */
export interface StoreSettings {
  /** HTTP origins, tried in order. */
  readonly endpoints: readonly string[];
  /** Bound on each call. */
  readonly timeoutMs: number;
  /** Put before every key, so that several fleets can share one service. */
  readonly prefix: string;
}

export const storeSection = z.strictObject({
  endpoints: z.array(origin()).min(1, "needs at least one endpoint"),
  timeout: duration().prefault("1s"),
  prefix: z.string().default("coltsfootreach/"),
}).transform((section): StoreSettings => ({
  endpoints: section.endpoints,
  timeoutMs: section.timeout,
  prefix: section.prefix,
}));

/** Files of the certificate, its private key and the trusted authority. */
export interface TlsSettings {
  readonly certificate: string;
  readonly key: string;
  readonly authority: string;
}

export const tlsSection = z.strictObject({
  certificate: z.string().min(1),
  key: z.string().min(1),
  authority: z.string().min(1),
});

/** The operators' interface of an entry. */
export interface ManagementSettings {
  readonly listen: { readonly host: string; readonly port: number };
  readonly token: string;
}

export const managementSection = z.strictObject({
  listen: listenAddress(),
  token: token(),
});

export type LogLevel = "error" | "warn" | "info" | "debug";

export interface LogSettings {
  readonly level: LogLevel;
}

export const logSection = z.strictObject({
  level: z.enum(["error", "warn", "info", "debug"]).default("info"),
});

/** Bounds on waiting that entries and sides share; all in milliseconds. */
export interface Timeouts {
  /** How long a side goes on starting tasks without a confirmed table. */
  readonly freshnessMs: number;
  /** Life of an entry's lease in the store; whole seconds. */
  readonly leaseMs: number;
  /** Interval of frames on an idle link. */
  readonly heartbeatMs: number;
  /** Silence after which a side is taken out of placement. */
  readonly sideLostMs: number;
  /** Bound on a graceful shutdown. */
  readonly drainMs: number;
}

const ONE_SECOND_MS = 1_000;

export const timeoutsSection = z.strictObject({
  freshness: duration().prefault("3s"),
  lease: duration().prefault("5s"),
  heartbeat: duration().prefault("1400ms"),
  side_lost: duration().prefault("3s"),
  drain: duration().prefault("30s"),
}).refine((section) => section.lease % ONE_SECOND_MS === 0, {
  path: ["lease"],
  message: "must be whole seconds",
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
