/**
 * The configuration that an entry has in force, and who has been told of it:
 * sides and other entries get it on the streams that exist anyway.
 */
import {
  type ConfigurationHolder,
  type ConfigurationSource,
  createVersionTimes,
  MAX_LAG_MS,
  type OfferOutcome,
  rulesInForce,
} from "@coltsfootreach/configure";
import {
  type Configuration,
  type ParsedConfiguration,
  type Rules,
} from "@coltsfootreach/types";
import type { EntryContext } from "./context.ts";
import type { SideState } from "./sides.ts";

export interface ConfigurationDesk {
  take(
    configuration: Configuration,
    source: ConfigurationSource,
    nowMs: number,
  ): OfferOutcome;
  version(): number;
  estate(): ParsedConfiguration | undefined;
  rules(): Rules;
  /** Tells a side of the version in force unless it was told already. */
  updateSide(side: SideState): void;
  /** Tells an entry that follows an older version. */
  updatePeer(entry: string, follows: number): void;
  /** A new stream: whatever was sent on the former one may be lost. */
  forget(target: string): void;
  /** Since when a version newer than this one is in force here. */
  behindSince(version: number): number | undefined;
  /** True when a side may take no new work until it has caught up. */
  isLagging(side: SideState, nowMs: number): boolean;
}

/** What the desk needs of the core around it. */
type Surroundings = Pick<
  EntryContext,
  "options" | "sides" | "connectedPeers" | "toSide" | "toPeer"
>;

export function createConfigurationDesk(
  context: Surroundings,
  holder: ConfigurationHolder,
): ConfigurationDesk {
  const { sides, connectedPeers, toSide, toPeer } = context;
  const told = new Map<string, number>();
  const times = createVersionTimes();
  let forSides: Configuration | undefined;

  // A new run of an entry goes on with what its process has in force.
  if (holder.inForce() !== undefined) prepareForSides();

  function prepareForSides(): void {
    const { configuration, estate, sinceMs } = holder.inForce()!;
    const { version } = configuration;
    times.note(version, sinceMs);
    const text = context.options.excerptForSides(estate);
    forSides = { version, text };
  }

  function putInForce(): void {
    prepareForSides();
    for (const side of sides.all()) updateSide(side);
    for (const entry of connectedPeers) updatePeer(entry, 0);
  }

  function isTold(target: string, follows: number): boolean {
    const known = Math.max(follows, told.get(target) ?? 0);
    return known >= holder.version();
  }

  function updateSide(side: SideState): void {
    const { incarnation } = side.identity;
    if (forSides === undefined || !side.connected) return;
    if (isTold(incarnation, side.configurationVersion)) return;
    told.set(incarnation, holder.version());
    toSide(incarnation, { kind: "configuration", configuration: forSides });
  }

  function updatePeer(entry: string, follows: number): void {
    const inForce = holder.inForce();
    if (inForce === undefined || isTold(entry, follows)) return;
    told.set(entry, holder.version());
    const { configuration } = inForce;
    toPeer(entry, { kind: "configuration", configuration });
  }

  return {
    take(configuration, source, nowMs) {
      const taken = holder.take({ configuration, source, nowMs });
      if (taken === "newer") putInForce();
      return taken;
    },
    version: () => holder.version(),
    estate: () => holder.inForce()?.estate,
    rules: () => rulesInForce(holder),
    updateSide,
    updatePeer,
    forget(target) {
      told.delete(target);
    },
    behindSince: (version) => times.firstAbove(version),
    isLagging(side, nowMs) {
      const sinceMs = times.firstAbove(side.configurationVersion);
      return sinceMs !== undefined && nowMs - sinceMs >= MAX_LAG_MS;
    },
  };
}
