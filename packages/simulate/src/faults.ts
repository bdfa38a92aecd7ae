/** Injects random faults into a simulated fleet. */
import type { SimulatedClock } from "./clock.ts";
import type { Fleet } from "./fleet.ts";
import type { Random } from "./random.ts";

export interface FaultOptions {
  readonly clock: SimulatedClock;
  readonly random: Random;
  readonly fleet: Fleet;
  /** Mean time between faults. */
  readonly meanIntervalMs: number;
  readonly untilMs: number;
  note(what: string): void;
}

export function injectFaults(options: FaultOptions): void {
  const { clock, random, fleet } = options;
  const pick = <T>(list: readonly T[]): T =>
    list[random.integerBelow(list.length)]!;
  const randomDurationMs = (maxMs: number) => 50 + random.next() * maxMs;

  function cutWay(): void {
    const entry = random.integerBelow(fleet.entries.length);
    const side = random.integerBelow(fleet.sides.length);
    const toSide = fleet.networkPath(entry, side, true);
    const toEntry = fleet.networkPath(entry, side, false);
    const kind = random.integerBelow(3);
    if (kind !== 0) toSide.isPartitioned = true;
    if (kind !== 1) toEntry.isPartitioned = true;
    clock.after(randomDurationMs(3000), () => {
      toSide.isPartitioned = false;
      toEntry.isPartitioned = false;
    });
  }

  const faults: Readonly<Record<string, () => void>> = {
    killEntry: () => pick(fleet.entries).kill(randomDurationMs(1500)),
    freezeEntry() {
      pick(fleet.entries).frozenUntil = clock.now() + randomDurationMs(3000);
    },
    killSide: () => pick(fleet.sides).kill(randomDurationMs(1500)),
    freezeSide() {
      pick(fleet.sides).frozenUntil = clock.now() + randomDurationMs(3000);
    },
    crashServer: () => pick(fleet.sides).crashServer(randomDurationMs(3000)),
    drainServer: () =>
      pick(fleet.sides).drainServer({
        leaveMs: randomDurationMs(4500),
        lingerMs: randomDurationMs(2000),
      }),
    sendStaleLeaveNotice: () => pick(fleet.sides).sendStaleLeaveNotice(),
    cutWay,
    resetStream: () =>
      fleet.resetStream(
        random.integerBelow(fleet.entries.length),
        random.integerBelow(fleet.sides.length),
      ),
    loseAnswers() {
      const side = pick(fleet.sides);
      side.responseLossRate = 0.3;
      clock.after(randomDurationMs(4000), () => side.responseLossRate = 0);
    },
    failRuns() {
      const server = pick(fleet.sides).server();
      server.setFailing(true);
      clock.after(randomDurationMs(3000), () => server.setFailing(false));
    },
    hangRuns() {
      const server = pick(fleet.sides).server();
      server.setHanging(true);
      clock.after(randomDurationMs(3000), () => server.setHanging(false));
    },
    slowRuns() {
      const server = pick(fleet.sides).server();
      server.setSlowness(5);
      clock.after(randomDurationMs(3000), () => server.setSlowness(1));
    },
  };
  const faultNames = Object.keys(faults);

  function injectNext(): void {
    if (clock.now() >= options.untilMs) return;
    const name = pick(faultNames);
    options.note(name);
    faults[name]!();
    clock.after(random.next() * 2 * options.meanIntervalMs, injectNext);
  }

  clock.after(random.next() * 2 * options.meanIntervalMs, injectNext);
}
