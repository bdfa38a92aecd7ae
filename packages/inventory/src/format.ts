/** Writes an estate as a configuration document. */
import { stringify } from "smol-toml";
import { formatDuration } from "@coltsfootreach/settings";
import type { ParsedConfiguration, Rules } from "@coltsfootreach/types";
import type { EstateContent } from "./schema.ts";

const MB_PER_GB = 1_024;

/** The document of an estate as TOML; its version is not part of it. */
export function formatEstate(
  estate: EstateContent | ParsedConfiguration,
): string {
  return stringify({
    data_centres: estate.dataCentres.map(({ delayMs, ...rest }) => ({
      ...rest,
      delay: formatDelay(delayMs),
    })),
    workers: estate.workers.map((worker) => ({
      name: worker.name,
      data_centre: worker.dataCentre,
      rack: worker.rack,
      cores: worker.cores,
      memory: formatMemory(worker.memoryMb),
      accelerators: worker.accelerators,
    })),
    servers: estate.servers.map((server) => ({ ...server })),
    tenants: estate.tenants.map((tenant) => ({
      name: tenant.name,
      weight: tenant.weight,
      starts_per_second: tenant.startsPerSecond,
      max_queued: tenant.maxQueued,
    })),
    classes: estate.classes.map((requestClass) => ({
      name: requestClass.name,
      deadline: formatDuration(requestClass.deadlineMs),
      idempotent: requestClass.idempotent,
    })),
    rules: formatRules(estate.rules),
  });
}

/**
 * The document without its workers and backend servers. It is what sides need,
 * and small however large the fleet is.
 */
export function excerptForSides(
  estate: EstateContent | ParsedConfiguration,
): string {
  return formatEstate({ ...estate, workers: [], servers: [] });
}

/** The rules under their TOML names. */
export function formatRules(rules: Rules) {
  return {
    held: [...rules.held],
    drained: [...rules.drained],
    never_ejected: [...rules.neverEjected],
    gone: [...rules.gone],
    eject_failure_ratio: rules.ejectFailureRatio,
    eject_at_most: rules.ejectAtMost,
    probation: formatDuration(rules.probationMs),
    retry_share: rules.retryShare,
  };
}

/** Delays between data centres may be fractions of a millisecond. */
function formatDelay(ms: number): string {
  return Number.isInteger(ms) ? formatDuration(ms) : `${ms}ms`;
}

function formatMemory(mb: number): string {
  return mb % MB_PER_GB === 0 ? `${mb / MB_PER_GB}GB` : `${mb}MB`;
}
