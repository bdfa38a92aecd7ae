/**
 * The key-value service without its transport: a keyspace, its watches, the
 * scripted faults and the timer that lets leases lapse.
 */
import type { StoreCall } from "@coltsfootreach/store";
import type { Cancel, Clock } from "../clock/clock.ts";
import {
  createFaultScript,
  type FaultScript,
  type KvFaultRequest,
} from "./fault.ts";
import { createKeyspace, type Keyspace } from "./keyspace.ts";
import { createWatchers, type Watcher, type Watchers } from "./watchers.ts";

/** How a call fares; `lost` means that it took effect without an answer. */
export type Served<T> =
  | { readonly kind: "answered"; readonly value: T }
  | { readonly kind: "lost" }
  | { readonly kind: "refuse" }
  | { readonly kind: "unavailable" }
  | { readonly kind: "tooManyRequests" };

export interface KvService {
  /** Serves one call as the faults demand. */
  serve<T>(
    call: StoreCall,
    run: (keyspace: Keyspace, nowMs: number) => T,
  ): Promise<Served<T>>;
  /** Opens a watch, after a served `watch` call; returns what ends it. */
  watch(watcher: Watcher): Cancel;
  setFaults(request: KvFaultRequest): void;
  readonly faults: Pick<FaultScript, "script" | "calls">;
  /** The state itself, for a test to look at. */
  readonly keyspace: Keyspace;
  close(): void;
}

export interface KvServiceOptions {
  readonly clock: Clock;
  /** Interval of progress notifications in milliseconds. */
  readonly progressMs: number;
}

export function createKvService(options: KvServiceOptions): KvService {
  const { clock, progressMs } = options;
  const keyspace = createKeyspace();
  const watchers = createWatchers(keyspace);
  const faults = createFaultScript();
  const delays = new Set<Cancel>();
  let cancelExpiry: Cancel = () => {};
  let cancelProgress = clock.schedule(progressMs, progress);

  return { serve, watch, setFaults, faults, keyspace, close };

  async function serve<T>(
    call: StoreCall,
    run: (keyspace: Keyspace, nowMs: number) => T,
  ): Promise<Served<T>> {
    const treatment = faults.treat(call, clock.nowMs());
    if (treatment.kind !== "serve") {
      return treatment;
    }
    if (treatment.delayMs > 0) {
      await delay(treatment.delayMs);
    }
    keyspace.expire(clock.nowMs());
    const value = run(keyspace, clock.nowMs());
    settle();
    return treatment.loseAnswer ? { kind: "lost" } : {
      kind: "answered",
      value,
    };
  }

  function watch(watcher: Watcher): Cancel {
    const cancel = watchers.add(watcher);
    settle();
    return cancel;
  }

  function setFaults({ lapseLeases, compact, ...rest }: KvFaultRequest): void {
    faults.set(rest);
    if (lapseLeases) {
      keyspace.lapseAll();
    }
    if (faults.script().outage !== "none") {
      watchers.breakAll();
    }
    if (compact) {
      keyspace.compact(keyspace.revision());
    }
    settle();
  }

  function settle(): void {
    silenceWhenScripted(faults, watchers);
    watchers.flush();
    scheduleExpiry();
  }

  function scheduleExpiry(): void {
    cancelExpiry();
    const atMs = keyspace.nextExpiryMs();
    if (atMs !== undefined) {
      cancelExpiry = clock.schedule(atMs - clock.nowMs(), expire);
    }
  }

  function expire(): void {
    keyspace.expire(clock.nowMs());
    settle();
  }

  function progress(): void {
    watchers.reportProgress();
    cancelProgress = clock.schedule(progressMs, progress);
  }

  function delay(ms: number): Promise<void> {
    return new Promise((resolve) => {
      const cancel = clock.schedule(ms, () => {
        delays.delete(cancel);
        resolve();
      });
      delays.add(cancel);
    });
  }

  function close(): void {
    delays.forEach((cancel) => cancel());
    cancelExpiry();
    cancelProgress();
  }
}

function silenceWhenScripted(faults: FaultScript, watchers: Watchers): void {
  if (faults.script().silentWatches) {
    watchers.silence();
  }
}
