/** Converts the settings of an entry to the options of its process. */
import {
  type ConfigurationHolder,
  type ConfigurationLookup,
  createConfigurationHolder,
  createConfigurationLookup,
  rulesInForce,
} from "@coltsfootreach/configure";
import { createLimits } from "@coltsfootreach/coordinate";
import type { EntryOptions } from "@coltsfootreach/entry";
import { createConfigurationParser } from "@coltsfootreach/inventory";
import type { Log } from "@coltsfootreach/log";
import {
  createPlacementPolicy,
  createRunTimeModel,
} from "@coltsfootreach/place";
import { type EntrySettings, formatAddress } from "@coltsfootreach/settings";
import type { Store } from "@coltsfootreach/store";
import { readCredentials } from "./credentials.ts";

/** Time to wait for tasks on a lost side before ending them. */
const LOST_SIDE_GRACE_MS = 10_000;

/** Time to wait for a started task after its deadline. */
const OVERDUE_GRACE_MS = 60_000;

/** Time that a job known only from sides' evidence awaits resubmission. */
const RESUBMISSION_TIMEOUT_MS = 30_000;

/** Maximum number of requests held until a takeover is settled. */
const MAX_HELD_REQUESTS = 50_000;

const MS_PER_SECOND = 1000;

/** Configuration state and parsing of an entry process. */
export interface EntryConfiguration {
  readonly holder: ConfigurationHolder;
  readonly estate: ConfigurationLookup;
  readonly prepare: EntryOptions["prepareConfiguration"];
}

export function createEntryConfiguration(): EntryConfiguration {
  const parser = createConfigurationParser();
  const holder = createConfigurationHolder({ parse: parser.parse });
  return {
    holder,
    estate: createConfigurationLookup(holder),
    prepare: parser.prepare,
  };
}

export interface EntryDependencies extends EntryConfiguration {
  readonly store: Store;
  readonly log: Log;
}

export function createEntryOptions(
  settings: EntrySettings,
  { store, log, holder, estate, prepare }: EntryDependencies,
): EntryOptions {
  const { limits, timeouts } = settings;
  return {
    name: settings.name,
    dataCentre: settings.dataCentre,
    listen: formatAddress(settings.link.listen),
    advertise: settings.link.advertise,
    store,
    prefix: settings.store.prefix,
    leaseSeconds: timeouts.leaseMs / MS_PER_SECOND,
    freshnessMs: timeouts.freshnessMs,
    heartbeatMs: timeouts.heartbeatMs,
    sideLostMs: timeouts.sideLostMs,
    doubtMs: LOST_SIDE_GRACE_MS,
    drainMs: timeouts.drainMs,
    maxHeld: MAX_HELD_REQUESTS,
    records: {
      windowMs: limits.recordWindowMs,
      skewMs: limits.skewMs,
      maxRecords: limits.jobs,
      overdueMs: OVERDUE_GRACE_MS,
      orphanMs: RESUBMISSION_TIMEOUT_MS,
    },
    maxActs: limits.acts,
    holder,
    prepareConfiguration: prepare,
    createPlanner({ slots, entries }) {
      const runTimes = createRunTimeModel();
      const rules = () => rulesInForce(holder);
      const limitedQueue = createLimits({
        estate,
        runTimes,
        rules,
        slots,
        entries,
      });
      const policyOptions = { random: Math.random, runTimes };
      const policy = createPlacementPolicy(settings.placement, policyOptions);
      return { ...limitedQueue, policy };
    },
    credentials: readCredentials(settings.tls),
    log,
  };
}
