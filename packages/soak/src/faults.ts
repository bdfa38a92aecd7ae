/** Fault injection from outside the processes; seeded, and faults may overlap. */
import { setTimeout as sleep } from "node:timers/promises";
import type { StoreMode } from "@coltsfootreach/platform";
import type { Random } from "@coltsfootreach/simulate";
import type { Fleet, ManagedProcess } from "./fleet.ts";

export interface FaultInjectionOptions {
  readonly fleet: Fleet;
  readonly random: Random;
  /** Mean time between faults. */
  readonly meanIntervalMs: number;
  readonly forMs: number;
  /** Only faults that operators cause on purpose, such as restarts. */
  readonly isPlannedOnly: boolean;
  /** Names of the faults to draw from; all that fit if undefined. */
  readonly only?: readonly string[] | undefined;
  /** Writes the configuration with a higher version. */
  changeConfiguration(): void;
  note(fault: string): void;
}

const FAULT_DURATION_SPAN_MS = 3000;

/** Longer than callers take to time out and to submit a job elsewhere. */
const MAX_SUSPENSION_MS = 4500;

/** Number of times that a fault is repeated when it comes as a series. */
const SERIES_LENGTH = 3;

const SERIES_PROBABILITY = 0.15;

const SERIES_INTERVAL_MS = 250;

/** Faults that must not interrupt any request. */
const PLANNED_FAULTS: readonly string[] = [
  "termEntry",
  "termSide",
  "hupEntry",
  "hupSide",
  "changeConfiguration",
  "leaveServer",
];

/** Resolves about when the last fault has ended. */
export async function injectFaults(
  options: FaultInjectionOptions,
): Promise<void> {
  const { fleet, random } = options;
  const endsAt = performance.now() + options.forMs;
  const pickRandom = <T>(list: readonly T[]): T =>
    list[random.integerBelow(list.length)]!;
  const leavingServers: Promise<void>[] = [];
  const pickServer = () => pickRandom(fleet.sides).serverHost;
  const randomDurationMs = () => 50 + random.next() * FAULT_DURATION_SPAN_MS;

  function terminate(
    target: ManagedProcess,
    signal: "SIGKILL" | "SIGTERM",
  ): void {
    target.isExitExpected = true;
    target.child.signal(signal);
  }

  function suspend(target: ManagedProcess): void {
    const durationMs = random.next() * MAX_SUSPENSION_MS;
    target.child.signal("SIGSTOP");
    setTimeout(() => target.child.signal("SIGCONT"), durationMs);
  }

  function injectStoreFault(mode: StoreMode): void {
    fleet.store.setMode(mode);
    if (random.chance(0.5)) fleet.store.lapseLeases();
    setTimeout(() => fleet.store.setMode("up"), randomDurationMs());
  }

  const faults: Readonly<Record<string, () => void>> = {
    killEntry: () => terminate(pickRandom(fleet.entries), "SIGKILL"),
    killSide: () => terminate(pickRandom(fleet.sides), "SIGKILL"),
    termEntry: () => terminate(pickRandom(fleet.entries), "SIGTERM"),
    termSide: () => terminate(pickRandom(fleet.sides), "SIGTERM"),
    hupEntry: () => pickRandom(fleet.entries).child.signal("SIGHUP"),
    hupSide: () => pickRandom(fleet.sides).child.signal("SIGHUP"),
    freezeEntry: () => suspend(pickRandom(fleet.entries)),
    freezeSide: () => suspend(pickRandom(fleet.sides)),
    killAll() {
      for (const target of [...fleet.entries, ...fleet.sides]) {
        terminate(target, "SIGKILL");
      }
    },
    resetLinks: () => pickRandom(fleet.entries).linkRelay.dropOpen(),
    silenceLinks() {
      const direction = pickRandom(["both", "toEntry", "fromEntry"] as const);
      pickRandom(fleet.entries).linkRelay.silenceOpen(
        direction,
        () => random.chance(0.5),
      );
    },
    cutLinks() {
      const { linkRelay: links } = pickRandom(fleet.entries);
      links.setMode(pickRandom(["refuse", "silent"]));
      setTimeout(() => links.setMode("pass"), randomDurationMs());
    },
    delayLinks() {
      const { linkRelay: links } = pickRandom(fleet.entries);
      links.setDelay(20 + random.integerBelow(400));
      setTimeout(() => links.setDelay(0), randomDurationMs());
    },
    resetCallers: () => pickRandom(fleet.entries).callerRelay.dropOpen(),
    silenceCallers() {
      const direction = pickRandom(["both", "toEntry", "fromEntry"] as const);
      pickRandom(fleet.entries).callerRelay.silenceOpen(
        direction,
        () => random.chance(0.5),
      );
    },
    delayCallers() {
      const { callerRelay } = pickRandom(fleet.entries);
      callerRelay.setDelay(20 + random.integerBelow(400));
      setTimeout(() => callerRelay.setDelay(0), randomDurationMs());
    },
    crashServer: () => pickServer().crash(randomDurationMs()),
    leaveServer() {
      leavingServers.push(pickServer().leave(randomDurationMs()));
    },
    sendStaleLeaveNotice: () => pickServer().sendStaleLeaveNotice(),
    loseAnswers() {
      const server = pickServer();
      server.setResponseLossRate(0.3);
      setTimeout(() => server.setResponseLossRate(0), randomDurationMs());
    },
    failRuns() {
      const server = pickServer().server();
      server.setFailing(true);
      setTimeout(() => server.setFailing(false), randomDurationMs());
    },
    hangRuns() {
      const server = pickServer().server();
      server.setHanging(true);
      setTimeout(() => server.setHanging(false), randomDurationMs());
    },
    storeBusy: () => injectStoreFault("busy"),
    storeReset: () => injectStoreFault("reset"),
    storeSilent: () => injectStoreFault("silent"),
    storeLossy: () => injectStoreFault("lossy"),
    changeConfiguration: options.changeConfiguration,
  };
  const names = options.only ??
    (options.isPlannedOnly ? PLANNED_FAULTS : Object.keys(faults));
  for (const name of names) {
    if (!(name in faults)) throw new Error(`unknown fault ${name}`);
  }

  while (performance.now() < endsAt) {
    const name = pickRandom(names);
    const repeatCount = random.chance(SERIES_PROBABILITY) ? SERIES_LENGTH : 1;
    for (let repeat = 0; repeat < repeatCount; repeat += 1) {
      options.note(name);
      faults[name]!();
      if (repeat + 1 < repeatCount) await sleep(SERIES_INTERVAL_MS);
    }
    await sleep(random.next() * 2 * options.meanIntervalMs);
  }
  await Promise.all([sleep(MAX_SUSPENSION_MS), ...leavingServers]);
}
