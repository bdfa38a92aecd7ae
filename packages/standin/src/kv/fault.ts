/**
 * Scripted faults of the key-value service. The script decides what happens to
 * each call; whoever serves the call carries it out.
 */
import { type StoreCall, zeroCallCounts } from "@coltsfootreach/store";
import { z } from "zod";

const count = z.number().int().nonnegative();

const script = z.strictObject({
  /** `refusing` takes no connections; `unavailable` answers each call so. */
  outage: z.enum(["none", "refusing", "unavailable"]),
  /** Delay before a call takes effect, in milliseconds. */
  slowMs: count,
  /** How many of the next writes lose their answer after their effect. */
  lostAnswers: count,
  /** Calls served per second; 0 means no limit. */
  callsPerSecond: count,
  /**
   * While true, watches that are open or get opened fall silent, and stay so
   * for good.
   */
  silentWatches: z.boolean(),
});

/** A change of the script; what is left out stays as it was. */
export const kvFaultRequest = script.partial().extend({
  /** Lets all leases lapse, once. */
  lapseLeases: z.boolean().optional(),
  /** Forgets the changes so far and cancels watches that need them, once. */
  compact: z.boolean().optional(),
});

export type KvFaultRequest = Readonly<z.infer<typeof kvFaultRequest>>;
export type KvFaults = Omit<KvFaultRequest, "lapseLeases" | "compact">;
export type Script = Readonly<z.infer<typeof script>>;

/** What happens to one call. */
export type Treatment =
  | { readonly kind: "refuse" }
  | { readonly kind: "unavailable" }
  | { readonly kind: "tooManyRequests" }
  | {
    readonly kind: "serve";
    readonly delayMs: number;
    readonly loseAnswer: boolean;
  };

export interface FaultScript {
  /** Counts the call and decides what happens to it. */
  treat(call: StoreCall, nowMs: number): Treatment;
  set(faults: KvFaults): void;
  script(): Script;
  calls(): Readonly<Record<StoreCall, number>>;
}

const NO_FAULTS: Script = {
  outage: "none",
  slowMs: 0,
  lostAnswers: 0,
  callsPerSecond: 0,
  silentWatches: false,
};

const MS_PER_SECOND = 1000;
const WRITES: readonly StoreCall[] = ["swap", "grant", "renew", "revoke"];

export function createFaultScript(): FaultScript {
  const calls = zeroCallCounts();
  let current = NO_FAULTS;
  let second = -1;
  let callsInSecond = 0;

  return {
    treat,
    set,
    script: () => current,
    calls: () => ({ ...calls }),
  };

  function set(faults: KvFaults): void {
    const given = Object.entries(faults).filter(([, value]) =>
      value !== undefined
    );
    current = { ...current, ...Object.fromEntries(given) };
  }

  function treat(call: StoreCall, nowMs: number): Treatment {
    if (current.outage === "refusing") {
      return { kind: "refuse" };
    }
    calls[call]++;
    if (current.outage === "unavailable") {
      return { kind: "unavailable" };
    }
    if (exceedsRate(nowMs)) {
      return { kind: "tooManyRequests" };
    }
    const loseAnswer = takesLostAnswer(call);
    return { kind: "serve", delayMs: current.slowMs, loseAnswer };
  }

  function exceedsRate(nowMs: number): boolean {
    const thisSecond = Math.floor(nowMs / MS_PER_SECOND);
    callsInSecond = thisSecond === second ? callsInSecond + 1 : 1;
    second = thisSecond;
    const { callsPerSecond } = current;
    return callsPerSecond > 0 && callsInSecond > callsPerSecond;
  }

  function takesLostAnswer(call: StoreCall): boolean {
    if (current.lostAnswers === 0 || !WRITES.includes(call)) {
      return false;
    }
    current = { ...current, lostAnswers: current.lostAnswers - 1 };
    return true;
  }
}
