/** What goes on during a trial beside the plain load. */
import { type Profile, TENFOLD_SPEEDS } from "./profile.ts";

export interface Scenario {
  readonly name: string;
  /** Offered work over capacity; replaces the load that was asked for. */
  readonly load?: number | undefined;
  /** How many times its share the first tenant offers. */
  readonly busyTenantFactor: number;
  /** From when on the first side fails all it starts, if ever. */
  readonly failingFromMs: number;
  /** Declared run times are off by up to ten either way. */
  readonly declaredOff: boolean;
  readonly speeds?: readonly number[] | undefined;
}

const PLAIN: Scenario = {
  name: "plain",
  busyTenantFactor: 1,
  failingFromMs: Infinity,
  declaredOff: false,
};

export const SCENARIOS: readonly Scenario[] = [
  PLAIN,
  { ...PLAIN, name: "busy-tenant", busyTenantFactor: 10 },
  { ...PLAIN, name: "at-capacity", load: 1 },
  { ...PLAIN, name: "burst", load: 3 },
  { ...PLAIN, name: "failing-side", failingFromMs: 30_000 },
  { ...PLAIN, name: "tenfold-speeds", speeds: TENFOLD_SPEEDS },
  { ...PLAIN, name: "declared-off", declaredOff: true },
];

/** The profile as a scenario changes it. */
export function applyScenario(profile: Profile, scenario: Scenario): Profile {
  return { ...profile, speeds: scenario.speeds ?? profile.speeds };
}
