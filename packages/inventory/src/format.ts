/** Formats a parsed configuration as a TOML document. */
import { stringify } from "smol-toml";
import { formatDuration } from "@coltsfootreach/settings";
import type { ParsedConfiguration, Rules } from "@coltsfootreach/types";
import type { ConfigurationContent } from "./schema.ts";

const MB_PER_GB = 1_024;

/** Formats a configuration as TOML, without its version. */
export function formatConfiguration(
  configuration: ConfigurationContent | ParsedConfiguration,
): string {
  return stringify({
    data_centres: configuration.dataCentres.map(({ delayMs, ...rest }) => ({
      ...rest,
      delay: formatDelay(delayMs),
    })),
    workers: configuration.workers.map((worker) => ({
      name: worker.name,
      data_centre: worker.dataCentre,
      rack: worker.rack,
      cores: worker.cores,
      memory: formatMemory(worker.memoryMb),
      accelerators: worker.accelerators,
    })),
    servers: configuration.servers.map((server) => ({ ...server })),
    tenants: configuration.tenants.map((tenant) => ({
      name: tenant.name,
      weight: tenant.weight,
      starts_per_second: tenant.startsPerSecond,
      max_queued: tenant.maxQueued,
    })),
    classes: configuration.classes.map((requestClass) => ({
      name: requestClass.name,
      deadline: formatDuration(requestClass.deadlineMs),
      idempotent: requestClass.idempotent,
    })),
    rules: formatRules(configuration.rules),
  });
}

/**
 * Formats the configuration without workers and backend servers. Sides don't
 * need those, so the excerpt stays small for any fleet size.
 */
export function excerptForSides(
  configuration: ConfigurationContent | ParsedConfiguration,
): string {
  return formatConfiguration({ ...configuration, workers: [], servers: [] });
}

/** Converts rules to their TOML key names. */
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
