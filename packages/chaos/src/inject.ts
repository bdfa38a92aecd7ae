/** Carries the acts of a schedule out on a fleet, and ends them all. */
import { setTimeout as sleep } from "node:timers/promises";
import type { Child, Fleet } from "@coltsfootreach/fleet";
import type { Random } from "@coltsfootreach/place";
import type { Act, Victim } from "./act.ts";
import { NO_STORE_FAULT, noBackendFault } from "./fault.ts";
import type { Relay } from "./relay.ts";
import { setFaults } from "./controls.ts";

/** How long a process may take to end after SIGTERM; above its drain bound. */
const STOP_BOUND_MS = 40_000;

/** Pause between two replacements of one plan step. */
const RETRY_MS = 100;

export interface Stop {
  readonly name: string;
  /** Undefined when another act ended the process. */
  readonly code: number | null;
  readonly tookMs: number;
}

export interface Injector {
  carryOut(act: Act): void;
  /** Ends every fault, and waits until every process runs. */
  endAll(): Promise<void>;
  /** Processes that were asked to stop and that no other act ended. */
  stops(): readonly Stop[];
}

export interface InjectorOptions {
  readonly fleet: Fleet;
  /** In the order of the entries. */
  readonly relays: readonly Relay[];
  readonly speedOf: (side: number) => number;
  readonly random: Random;
}

export function createInjector(options: InjectorOptions): Injector {
  const { fleet, relays, random } = options;
  const stops: Stop[] = [];
  const stopping = new Map<Child, Promise<void>>();
  const killed = new WeakSet<Promise<unknown>>();
  const delayed = new Map<NodeJS.Timeout, () => void>();

  function later(afterMs: number, run: () => void): void {
    const timer = setTimeout(() => {
      delayed.delete(timer);
      run();
    }, afterMs);
    delayed.set(timer, run);
  }

  function childOf({ role, index }: Victim): Child {
    return role === "entry" ? fleet.entries[index]!.child : fleet.sides[index]!;
  }

  async function kill(child: Child): Promise<void> {
    const own = stopping.get(child);
    if (own !== undefined) killed.add(own);
    child.signal("SIGKILL");
    await child.ended();
  }

  function replace(child: Child): void {
    if (stopping.has(child) || !child.isRunning()) return;
    const own = stop(child).finally(() => {
      stopping.delete(child);
      child.restart();
    });
    stopping.set(child, own);
  }

  async function stop(child: Child): Promise<void> {
    const startedAtMs = performance.now();
    child.signal("SIGTERM");
    const bound = sleep(STOP_BOUND_MS, "bound" as const, { ref: false });
    const code = await Promise.race([child.ended(), bound]);
    const tookMs = performance.now() - startedAtMs;
    if (code === "bound") await kill(child);
    const own = stopping.get(child);
    if (own !== undefined && killed.has(own) && code !== "bound") return;
    stops.push({
      name: child.name,
      code: code === "bound" ? null : code,
      tookMs: Math.round(tookMs),
    });
  }

  function setBackend(side: number, faults: object): void {
    void setFaults(fleet.backendOrigins[side]!, faults);
  }

  function endBackendFault(side: number): void {
    setBackend(side, noBackendFault(options.speedOf(side)));
  }

  function setStore(faults: object): void {
    void setFaults(fleet.storeControl, faults);
  }

  async function killWorker(side: number, backAfterMs: number): Promise<void> {
    const child = fleet.sides[side]!;
    setBackend(side, { announcing: false, silenceConnections: true });
    await kill(child);
    later(backAfterMs, () => {
      child.restart();
      endBackendFault(side);
    });
  }

  function carryOut(act: Act): void {
    switch (act.kind) {
      case "kill": {
        const child = childOf(act.victim);
        void kill(child).then(() =>
          later(act.backAfterMs, () => child.restart())
        );
        return;
      }
      case "pause": {
        const child = childOf(act.victim);
        child.signal("SIGSTOP");
        return later(act.forMs, () => child.signal("SIGCONT"));
      }
      case "replace":
        return replace(childOf(act.victim));
      case "killWorker":
        return void killWorker(act.side, act.backAfterMs);
      case "cut": {
        const relay = relays[act.entry]!;
        relay.setMode(act.how);
        return later(act.forMs, () => relay.setMode("pass"));
      }
      case "silenceLinks":
        return relays[act.entry]!.silenceOpen(
          act.direction,
          () => random() < act.share,
        );
      case "dropLinks":
        return relays[act.entry]!.dropOpen();
      case "silenceBackend":
        return setBackend(act.side, { silenceConnections: true });
      case "backend":
        setBackend(act.side, act.fault);
        return later(act.forMs, () => endBackendFault(act.side));
      case "store":
        setStore(act.fault);
        return later(act.forMs, () => setStore(NO_STORE_FAULT));
    }
  }

  async function endAll(): Promise<void> {
    for (const [timer, run] of [...delayed]) {
      clearTimeout(timer);
      delayed.delete(timer);
      run();
    }
    const children = [
      ...fleet.entries.map(({ child }) => child),
      ...fleet.sides,
    ];
    children.forEach((child) => child.signal("SIGCONT"));
    relays.forEach((relay) => relay.setMode("pass"));
    await setFaults(fleet.storeControl, NO_STORE_FAULT);
    fleet.sides.forEach((_, side) => endBackendFault(side));
    for (const child of children) {
      await stopping.get(child);
      while (!child.isRunning()) {
        child.restart();
        await sleep(RETRY_MS);
      }
    }
  }

  return { carryOut, endAll, stops: () => stops };
}
