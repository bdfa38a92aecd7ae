/**
 * Holds the configuration that is in force in one process. It accepts versions
 * from any source and in any order, and never reverts to a lower one.
 */
import type { Result } from "neverthrow";
import {
  type Configuration,
  DEFAULT_RULES,
  type ParsedConfiguration,
  type Rules,
} from "@coltsfootreach/types";

/** Where a version was received from. */
export type ConfigurationSource = "watch" | "read" | "peer" | "entry";

export interface ActiveConfiguration {
  readonly configuration: Configuration;
  readonly estate: ParsedConfiguration;
  /** When it came into force in this process, on its own clock. */
  readonly sinceMs: number;
  readonly source: ConfigurationSource;
}

/** A newer version that this process could not parse. */
export interface RejectedVersion {
  readonly version: number;
  readonly reason: string;
  readonly atMs: number;
}

export interface OfferedConfiguration {
  readonly configuration: Configuration;
  readonly source: ConfigurationSource;
  readonly nowMs: number;
}

/**
 * - `newer`: it is now in force.
 * - `same`: it was already in force.
 * - `older`: it is below the version in force and was ignored.
 * - `different`: it has the version in force but another text; ignored.
 * - `invalid`: it is newer but could not be parsed.
 */
export type OfferOutcome = "newer" | "same" | "older" | "different" | "invalid";

export interface ConfigurationHolder {
  take(news: OfferedConfiguration): OfferOutcome;
  /** Undefined while no version is known. */
  inForce(): ActiveConfiguration | undefined;
  /** The version in force; 0 while none is. */
  version(): number;
  /** The newest unparsable version, until that or a newer one is in force. */
  rejected(): RejectedVersion | undefined;
}

export interface HolderOptions {
  readonly parse: (
    configuration: Configuration,
  ) => Result<ParsedConfiguration, { readonly message: string }>;
}

export function createConfigurationHolder(
  { parse }: HolderOptions,
): ConfigurationHolder {
  let inForce: ActiveConfiguration | undefined;
  let rejected: RejectedVersion | undefined;

  function version(): number {
    return inForce?.configuration.version ?? 0;
  }

  function take(news: OfferedConfiguration): OfferOutcome {
    const offered = news.configuration;
    if (offered.version < version()) return "older";
    if (offered.version === version()) return compareText(offered);
    return parse(offered).match(
      (estate) => activate(news, estate),
      (fault) => reject(news, fault.message),
    );
  }

  function compareText({ text }: Configuration): OfferOutcome {
    return inForce === undefined || inForce.configuration.text === text
      ? "same"
      : "different";
  }

  function activate(
    news: OfferedConfiguration,
    estate: ParsedConfiguration,
  ): OfferOutcome {
    const { configuration, source, nowMs } = news;
    inForce = { configuration, estate, source, sinceMs: nowMs };
    if (rejected !== undefined && rejected.version <= configuration.version) {
      rejected = undefined;
    }
    return "newer";
  }

  function reject(news: OfferedConfiguration, reason: string): OfferOutcome {
    const { version } = news.configuration;
    if (version > (rejected?.version ?? 0)) {
      rejected = { version, reason, atMs: news.nowMs };
    }
    return "invalid";
  }

  return {
    take,
    version,
    inForce: () => inForce,
    rejected: () => rejected,
  };
}

/** The rules of the configuration in force; the defaults if there is none. */
export function rulesInForce(holder: ConfigurationHolder): Rules {
  return holder.inForce()?.estate.rules ?? DEFAULT_RULES;
}
