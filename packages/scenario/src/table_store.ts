/**
 * A fake of what entries use of the key-value service: one table changed by
 * compare-and-swap, a lease for each entry, and watches. It may be out, lose
 * the answer of a write, or delay what a watch reports.
 */
import { EMPTY_TABLE, type Table } from "@coltsfootreach/types";
import type { Agenda } from "./agenda.ts";
import type { Host } from "./host.ts";

/** One way between a process and the store in milliseconds. */
const STORE_DELAY_MS = 2;

export interface StoreWatch {
  tableChanged(table: Table): void;
  lapsed(incarnation: string): void;
  /** The store is back after an outage, which ended all watches. */
  restarted(): void;
}

/** A call's answer; undefined when none came. */
export type Answered<Value> = (value: Value | undefined) => void;

export interface TableStore {
  read(host: Host, answered: Answered<Table>): void;
  change(
    host: Host,
    change: (table: Table) => Table,
    answered: Answered<Table>,
  ): void;
  /** Renews or takes a lease; false when an earlier one had lapsed. */
  renew(host: Host, incarnation: string, answered: Answered<boolean>): void;
  revoke(incarnation: string): void;
  live(host: Host, answered: Answered<ReadonlySet<string>>): void;
  watch(host: Host, watch: StoreWatch): void;
  unwatch(watch: StoreWatch): void;
  setOut(isOut: boolean): void;
  loseNextAnswer(): void;
  /** Cuts one host off from the store, or lets it through again. */
  setReachable(host: string, isReachable: boolean): void;
  /** The lease of this run ends now. */
  lapse(incarnation: string): void;
  holdWatches(host: string): void;
  releaseWatches(): void;
  table(): Table;
  isOut(): boolean;
  /** Everything about the store that can matter later. */
  state(): unknown;
}

export interface TableStoreOptions {
  readonly agenda: Agenda;
  readonly leaseMs: number;
  readonly timeoutMs: number;
}

export function createTableStore(options: TableStoreOptions): TableStore {
  const { agenda, leaseMs, timeoutMs } = options;
  const leases = new Map<string, number>();
  const watches: { host: Host; watch: StoreWatch; missed: boolean }[] = [];
  const unreachable = new Set<string>();
  const held = new Map<string, (() => void)[]>();
  let table: Table = EMPTY_TABLE;
  let isOut = false;
  let losesNextAnswer = false;

  function call<Value>(
    host: Host,
    serve: () => Value,
    options: { answered: Answered<Value>; isWrite: boolean },
  ): void {
    const { answered, isWrite } = options;
    agenda.schedule(STORE_DELAY_MS, () => {
      if (isOut || unreachable.has(host.name)) {
        agenda.schedule(
          timeoutMs,
          () => host.input("no answer", () => answered(undefined)),
        );
        return;
      }
      const value = serve();
      const isLost = isWrite && losesNextAnswer;
      if (isLost) losesNextAnswer = false;
      const delayMs = isLost ? timeoutMs : STORE_DELAY_MS;
      agenda.schedule(
        delayMs,
        () =>
          host.input(
            isLost ? "no answer" : shown(value),
            () => answered(isLost ? undefined : value),
          ),
      );
    });
  }

  function notify(what: unknown, report: (watch: StoreWatch) => void): void {
    for (const one of watches) {
      const { host, watch } = one;
      if (isOut || unreachable.has(host.name)) {
        one.missed = true;
        continue;
      }
      const deliver = () =>
        host.input(what, () => {
          if (watches.some((known) => known.watch === watch)) report(watch);
        });
      const waiting = held.get(host.name);
      if (waiting !== undefined) waiting.push(deliver);
      else agenda.schedule(STORE_DELAY_MS, deliver);
    }
  }

  function expire(): void {
    for (const [incarnation, untilMs] of [...leases]) {
      if (untilMs <= agenda.nowMs()) lapse(incarnation);
    }
  }

  function lapse(incarnation: string): void {
    if (!leases.delete(incarnation)) return;
    notify(`lapse of ${incarnation}`, (watch) => watch.lapsed(incarnation));
  }

  function planExpiry(): void {
    agenda.schedule(leaseMs + 1, () => {
      if (!isOut) expire();
    });
  }

  function restart(host?: string): void {
    for (const one of watches) {
      if (host !== undefined && one.host.name !== host) continue;
      if (!one.missed && host !== undefined) continue;
      one.missed = false;
      const { watch } = one;
      agenda.schedule(
        STORE_DELAY_MS,
        () => one.host.input("watch restarted", () => watch.restarted()),
      );
    }
  }

  return {
    read(host, answered) {
      call(host, () => table, { answered, isWrite: false });
    },
    change(host, change, answered) {
      call(host, () => {
        const next = change(table);
        if (next !== table) {
          table = next;
          notify(next, (watch) => watch.tableChanged(next));
        }
        return table;
      }, { answered, isWrite: true });
    },
    renew(host, incarnation, answered) {
      call(host, () => {
        const isKnown = leases.has(incarnation);
        leases.set(incarnation, agenda.nowMs() + leaseMs);
        planExpiry();
        return isKnown;
      }, { answered, isWrite: false });
    },
    revoke(incarnation) {
      leases.delete(incarnation);
    },
    live(host, answered) {
      call(host, () => new Set(leases.keys()), { answered, isWrite: false });
    },
    watch(host, watch) {
      watches.push({ host, watch, missed: false });
    },
    unwatch(watch) {
      const at = watches.findIndex((one) => one.watch === watch);
      if (at >= 0) watches.splice(at, 1);
    },
    setOut(out) {
      const wasOut = isOut;
      isOut = out;
      if (!wasOut || out) return;
      expire();
      restart();
    },
    loseNextAnswer() {
      losesNextAnswer = true;
    },
    setReachable(host, isReachable) {
      if (!isReachable) {
        unreachable.add(host);
      } else if (unreachable.delete(host)) {
        restart(host);
      }
    },
    lapse,
    holdWatches(host) {
      if (!held.has(host)) held.set(host, []);
    },
    releaseWatches() {
      const waiting = [...held.values()].flat();
      held.clear();
      for (const deliver of waiting) agenda.schedule(STORE_DELAY_MS, deliver);
    },
    table: () => table,
    isOut: () => isOut,
    state: () => ({
      table,
      isOut,
      losesNextAnswer,
      leases: [...leases].sort(),
      unreachable: [...unreachable].sort(),
      held: [...held].map(([host, waiting]) => [host, waiting.length]).sort(),
      missed: watches.map(({ host, missed }) => [host.name, missed]).sort(),
    }),
  };
}

function shown(value: unknown): unknown {
  return value instanceof Set ? [...value] : value;
}
