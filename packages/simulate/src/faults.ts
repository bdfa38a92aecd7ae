/** Faults that a seed draws for one play. */
import type { SimulatedClock } from "./clock.ts";
import type { Fleet } from "./fleet.ts";
import type { Random } from "./random.ts";

export interface FaultOptions {
  readonly clock: SimulatedClock;
  readonly random: Random;
  readonly fleet: Fleet;
  /** Mean time between faults. */
  readonly everyMs: number;
  readonly untilMs: number;
  note(what: string): void;
}

export function playFaults(options: FaultOptions): void {
  const { clock, random, fleet } = options;
  const pick = <T>(list: readonly T[]): T => list[random.below(list.length)]!;
  const someMs = (most: number) => 50 + random.next() * most;

  function cutWay(): void {
    const entry = random.below(fleet.entries.length);
    const side = random.below(fleet.sides.length);
    const toSide = fleet.way(entry, side, true);
    const toEntry = fleet.way(entry, side, false);
    const kind = random.below(3);
    if (kind !== 0) toSide.isCut = true;
    if (kind !== 1) toEntry.isCut = true;
    clock.after(someMs(3000), () => {
      toSide.isCut = false;
      toEntry.isCut = false;
    });
  }

  const faults: Readonly<Record<string, () => void>> = {
    killEntry: () => pick(fleet.entries).kill(someMs(1500)),
    freezeEntry() {
      pick(fleet.entries).frozenUntil = clock.now() + someMs(3000);
    },
    killSide: () => pick(fleet.sides).kill(someMs(1500)),
    freezeSide() {
      pick(fleet.sides).frozenUntil = clock.now() + someMs(3000);
    },
    crashServer: () => pick(fleet.sides).crashServer(someMs(3000)),
    drainServer: () => pick(fleet.sides).drainServer(2500 + someMs(2000)),
    cutWay,
    resetStream: () =>
      fleet.resetStream(
        random.below(fleet.entries.length),
        random.below(fleet.sides.length),
      ),
    loseAnswers() {
      const side = pick(fleet.sides);
      side.lossShare = 0.3;
      clock.after(someMs(4000), () => side.lossShare = 0);
    },
    failRuns() {
      const server = pick(fleet.sides).server();
      server.setFailing(true);
      clock.after(someMs(3000), () => server.setFailing(false));
    },
    hangRuns() {
      const server = pick(fleet.sides).server();
      server.setHanging(true);
      clock.after(someMs(3000), () => server.setHanging(false));
    },
    slowRuns() {
      const server = pick(fleet.sides).server();
      server.setSlowness(5);
      clock.after(someMs(3000), () => server.setSlowness(1));
    },
  };
  const names = Object.keys(faults);

  function next(): void {
    if (clock.now() >= options.untilMs) return;
    const name = pick(names);
    options.note(name);
    faults[name]!();
    clock.after(random.next() * 2 * options.everyMs, next);
  }

  clock.after(random.next() * 2 * options.everyMs, next);
}
