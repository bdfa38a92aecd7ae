/** Turns the settings of an entry into the options of its process. */
import {
  type ConfigurationHolder,
  createConfigurationHolder,
  createEstateLookup,
  type EstateLookup,
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

/** How long tasks on a lost side are waited for. */
const DOUBT_MS = 10_000;

/** How long after its deadline a started task is waited for. */
const OVERDUE_MS = 60_000;

/** How long a job known by evidence alone waits for its resubmission. */
const ORPHAN_MS = 30_000;

/** Most requests that wait for a takeover to settle. */
const MAX_HELD = 50_000;

const MS_PER_SECOND = 1000;

/** What an entry's process follows of the configuration. */
export interface Followed {
  readonly holder: ConfigurationHolder;
  readonly estate: EstateLookup;
  readonly prepare: EntryOptions["prepareConfiguration"];
}

export function createFollowed(): Followed {
  const parser = createConfigurationParser();
  const holder = createConfigurationHolder({ parse: parser.parse });
  return {
    holder,
    estate: createEstateLookup(holder),
    prepare: parser.prepare,
  };
}

export interface Surroundings extends Followed {
  readonly store: Store;
  readonly log: Log;
}

export function createEntryOptions(
  settings: EntrySettings,
  { store, log, holder, estate, prepare }: Surroundings,
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
    doubtMs: DOUBT_MS,
    drainMs: timeouts.drainMs,
    maxHeld: MAX_HELD,
    records: {
      windowMs: limits.recordWindowMs,
      skewMs: limits.skewMs,
      maxRecords: limits.jobs,
      overdueMs: OVERDUE_MS,
      orphanMs: ORPHAN_MS,
    },
    maxActs: limits.acts,
    holder,
    prepareConfiguration: prepare,
    createPlanner({ slots, entries }) {
      const runTimes = createRunTimeModel();
      const rules = () => rulesInForce(holder);
      const limited = createLimits({ estate, runTimes, rules, slots, entries });
      const placing = { random: Math.random, runTimes };
      const policy = createPlacementPolicy(settings.placement, placing);
      return { ...limited, policy };
    },
    credentials: readCredentials(settings.tls),
    log,
  };
}
