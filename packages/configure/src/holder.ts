/**
 * The configuration that is in force in one process. It takes versions from
 * wherever they come, in any order, and never goes back to a lower one.
 */
import type { Result } from "neverthrow";
import {
  type Configuration,
  DEFAULT_RULES,
  type ParsedConfiguration,
  type Rules,
} from "@coltsfootreach/types";

/** Where a version was learned. */
export type ConfigurationSource = "watch" | "read" | "peer" | "entry";

export interface InForce {
  readonly configuration: Configuration;
  readonly estate: ParsedConfiguration;
  /** When this process took it, on its own clock. */
  readonly sinceMs: number;
  readonly source: ConfigurationSource;
}

/** A newer version that this process cannot use. */
export interface Rejected {
  readonly version: number;
  readonly reason: string;
  readonly atMs: number;
}

export interface ConfigurationNews {
  readonly configuration: Configuration;
  readonly source: ConfigurationSource;
  readonly nowMs: number;
}

/**
 * - `newer`: it is in force now.
 * - `same`: it was in force already.
 * - `older`: it is below the one in force and was passed over.
 * - `different`: another text under the version in force; passed over.
 * - `invalid`: it is newer and cannot be used.
 */
export type Taken = "newer" | "same" | "older" | "different" | "invalid";

export interface ConfigurationHolder {
  take(news: ConfigurationNews): Taken;
  /** Undefined while no version is known. */
  inForce(): InForce | undefined;
  /** The version in force; 0 while none is. */
  version(): number;
  /** The newest version that could not be used, while it is the newest. */
  rejected(): Rejected | undefined;
}

export interface HolderOptions {
  readonly parse: (
    configuration: Configuration,
  ) => Result<ParsedConfiguration, { readonly message: string }>;
}

export function createConfigurationHolder(
  { parse }: HolderOptions,
): ConfigurationHolder {
  let inForce: InForce | undefined;
  let rejected: Rejected | undefined;

  function version(): number {
    return inForce?.configuration.version ?? 0;
  }

  function take(news: ConfigurationNews): Taken {
    const offered = news.configuration;
    if (offered.version < version()) return "older";
    if (offered.version === version()) return compareText(offered);
    return parse(offered).match(
      (estate) => putInForce(news, estate),
      (fault) => reject(news, fault.message),
    );
  }

  function compareText({ text }: Configuration): Taken {
    return inForce === undefined || inForce.configuration.text === text
      ? "same"
      : "different";
  }

  function putInForce(
    news: ConfigurationNews,
    estate: ParsedConfiguration,
  ): Taken {
    const { configuration, source, nowMs } = news;
    inForce = { configuration, estate, source, sinceMs: nowMs };
    if (rejected !== undefined && rejected.version <= configuration.version) {
      rejected = undefined;
    }
    return "newer";
  }

  function reject(news: ConfigurationNews, reason: string): Taken {
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

/** The rules that hold now, those of the configuration if there is one. */
export function rulesInForce(holder: ConfigurationHolder): Rules {
  return holder.inForce()?.estate.rules ?? DEFAULT_RULES;
}
