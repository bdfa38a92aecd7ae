/** Faults from outside the processes, drawn from a seed, which may overlap. */
import { setTimeout as sleep } from "node:timers/promises";
import type { StoreMode } from "@coltsfootreach/platform";
import type { Random } from "@coltsfootreach/simulate";
import type { Fleet, SoakedProcess } from "./fleet.ts";

export interface FaultsOptions {
  readonly fleet: Fleet;
  readonly random: Random;
  /** Mean time between faults. */
  readonly everyMs: number;
  readonly forMs: number;
  /** Only faults that operators bring about on purpose. */
  readonly isPlanned: boolean;
  /** Writes the configuration under the next version. */
  changeConfiguration(): void;
  note(fault: string): void;
}

const LONGEST_MS = 3000;

/** Some faults come as a series of this many, at short intervals. */
const SERIES = 3;

const SERIES_CHANCE = 0.15;

const SERIES_GAP_MS = 250;

/** Faults that must cut no request. */
const PLANNED: readonly string[] = [
  "termEntry",
  "termSide",
  "hupEntry",
  "hupSide",
  "changeConfiguration",
];

/** Resolves when the last fault is over. */
export async function playFaults(options: FaultsOptions): Promise<void> {
  const { fleet, random } = options;
  const endsAt = performance.now() + options.forMs;
  const pick = <T>(list: readonly T[]): T =>
    list[random.integerBelow(list.length)]!;
  const someMs = () => 50 + random.next() * LONGEST_MS;

  function end(one: SoakedProcess, signal: "SIGKILL" | "SIGTERM"): void {
    one.isEnding = true;
    one.child.signal(signal);
  }

  function freeze(one: SoakedProcess): void {
    one.child.signal("SIGSTOP");
    setTimeout(() => one.child.signal("SIGCONT"), someMs());
  }

  function troubleStore(mode: StoreMode): void {
    fleet.store.setMode(mode);
    if (random.chance(0.5)) fleet.store.lapseLeases();
    setTimeout(() => fleet.store.setMode("up"), someMs());
  }

  const faults: Readonly<Record<string, () => void>> = {
    killEntry: () => end(pick(fleet.entries), "SIGKILL"),
    killSide: () => end(pick(fleet.sides), "SIGKILL"),
    termEntry: () => end(pick(fleet.entries), "SIGTERM"),
    termSide: () => end(pick(fleet.sides), "SIGTERM"),
    hupEntry: () => pick(fleet.entries).child.signal("SIGHUP"),
    hupSide: () => pick(fleet.sides).child.signal("SIGHUP"),
    freezeEntry: () => freeze(pick(fleet.entries)),
    freezeSide: () => freeze(pick(fleet.sides)),
    killAll() {
      for (const one of [...fleet.entries, ...fleet.sides]) end(one, "SIGKILL");
    },
    resetLinks: () => pick(fleet.entries).links.dropOpen(),
    silenceLinks() {
      const direction = pick(["both", "toEntry", "fromEntry"] as const);
      pick(fleet.entries).links.silenceOpen(
        direction,
        () => random.chance(0.5),
      );
    },
    cutLinks() {
      const { links } = pick(fleet.entries);
      links.setMode(pick(["refuse", "silent"]));
      setTimeout(() => links.setMode("pass"), someMs());
    },
    delayLinks() {
      const { links } = pick(fleet.entries);
      links.setDelay(20 + random.integerBelow(400));
      setTimeout(() => links.setDelay(0), someMs());
    },
    resetCallers: () => pick(fleet.entries).callers.dropOpen(),
    silenceCallers: () =>
      pick(fleet.entries).callers.silenceOpen("both", () => random.chance(0.5)),
    crashServer: () => pick(fleet.sides).crashServer(someMs()),
    loseAnswers() {
      const side = pick(fleet.sides);
      side.setLossShare(0.3);
      setTimeout(() => side.setLossShare(0), someMs());
    },
    failRuns() {
      const server = pick(fleet.sides).server();
      server.setFailing(true);
      setTimeout(() => server.setFailing(false), someMs());
    },
    hangRuns() {
      const server = pick(fleet.sides).server();
      server.setHanging(true);
      setTimeout(() => server.setHanging(false), someMs());
    },
    storeBusy: () => troubleStore("busy"),
    storeReset: () => troubleStore("reset"),
    storeSilent: () => troubleStore("silent"),
    storeLossy: () => troubleStore("lossy"),
    changeConfiguration: options.changeConfiguration,
  };
  const names = options.isPlanned ? PLANNED : Object.keys(faults);

  while (performance.now() < endsAt) {
    const name = pick(names);
    const times = random.chance(SERIES_CHANCE) ? SERIES : 1;
    for (let time = 0; time < times; time += 1) {
      options.note(name);
      faults[name]!();
      if (time + 1 < times) await sleep(SERIES_GAP_MS);
    }
    await sleep(random.next() * 2 * options.everyMs);
  }
  await sleep(LONGEST_MS);
}
