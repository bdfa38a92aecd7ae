/**
 * A `Store` in the memory of a test, with the verdicts that the etcd adapter
 * gives under the same scripted faults. It runs on the test's own clock.
 */
import { StoreUnavailable } from "@coltsfootreach/errors";
import {
  type Change,
  type Lease,
  type Listing,
  type Store,
  type StoreCall,
  type Swap,
  type VersionedValue,
  type Watch,
  type WatchListener,
  type Write,
  zeroCallCounts,
} from "@coltsfootreach/store";
import { err, ok, type Result, ResultAsync } from "neverthrow";
import type { Clock } from "../clock/clock.ts";
import type { KvFaultRequest } from "./fault.ts";
import {
  keyOf,
  type Keyspace,
  type KeyspaceChange,
  type Pair,
  type Swapped,
} from "./keyspace.ts";
import { createKvService, type KvService, type Served } from "./service.ts";
import { rangeOfPrefix } from "./key_range.ts";

export interface MemoryStore extends Store {
  setFaults(request: KvFaultRequest): void;
}

export interface MemoryStoreOptions {
  /** Bounds each call, in milliseconds. */
  readonly timeoutMs?: number | undefined;
  /** A watch without any message for this long has ended, in milliseconds. */
  readonly watchSilentMs?: number | undefined;
  /** Shares the keys of another memory store's service. */
  readonly service?: KvService | undefined;
}

const DEFAULT_TIMEOUT_MS = 1000;
const DEFAULT_WATCH_SILENT_MS = 2000;
const PROGRESS_MS = 500;

/** The service behind memory stores that several processes share. */
export function createMemoryService(clock: Clock): KvService {
  return createKvService({ clock, progressMs: PROGRESS_MS });
}

export function createMemoryStore(
  clock: Clock,
  options: MemoryStoreOptions = {},
): MemoryStore {
  const service = options.service ?? createMemoryService(clock);
  const timeoutMs = options.timeoutMs ?? DEFAULT_TIMEOUT_MS;
  const silentMs = options.watchSilentMs ?? DEFAULT_WATCH_SILENT_MS;
  const calls = zeroCallCounts();

  return {
    read: (key) => call("read", (keys) => ok(versioned(keys.get(key)))),
    list: (prefix) => call("read", (keys) => ok(listing(keys, prefix))),
    listStale: (prefix) => call("read", (keys) => ok(listing(keys, prefix))),
    swap: (write) => call("swap", (keys) => toSwap(keys.put(toPut(write)))),
    remove: (key, expectedRevision) =>
      call("swap", (keys) => toSwap(keys.delete({ key, expectedRevision }))),
    grant: (ttlSeconds) =>
      call("grant", (keys, nowMs) => ok(keys.grant(ttlSeconds, nowMs))),
    renew: (lease) =>
      call(
        "renew",
        (keys, nowMs) => ok(keys.keepAlive(lease.id, nowMs) !== undefined),
      ),
    revoke,
    watch,
    calls: () => ({ ...calls }),
    setFaults: service.setFaults,
  };

  function revoke(lease: Lease): ResultAsync<void, StoreUnavailable> {
    return call("revoke", (keys) => {
      keys.revoke(lease.id);
      return ok(undefined);
    });
  }

  function call<T>(
    kind: StoreCall,
    run: (keys: Keyspace, nowMs: number) => Result<T, StoreUnavailable>,
  ): ResultAsync<T, StoreUnavailable> {
    calls[kind]++;
    const answer = new Promise<Result<T, StoreUnavailable>>((resolve) => {
      const timedOut = () =>
        resolve(err(unavailable(kind, "mayHaveRun", "timeout")));
      const cancel = clock.schedule(timeoutMs, timedOut);
      service.serve(kind, run).then((served) => {
        cancel();
        resolve(toResult(kind, served));
      });
    });
    return new ResultAsync(answer);
  }

  function watch(
    prefix: string,
    from: number,
    listener: WatchListener,
  ): Watch {
    calls.watch++;
    let open = true;
    let cancelWatch = () => {};
    let cancelTimer = clock.schedule(silentMs, end);
    service.serve("watch", () => undefined).then(start);
    return { close };

    function start(served: Served<undefined>): void {
      if (!open) {
        return;
      }
      if (served.kind !== "answered") {
        end();
        return;
      }
      cancelWatch = service.watch({
        range: rangeOfPrefix(prefix),
        from,
        changed: (_revision, changes) => changes.forEach(report),
        progressed: restartTimer,
        compacted: end,
        broken: end,
      });
      if (!open) {
        cancelWatch();
      }
    }

    function report(change: KeyspaceChange): void {
      if (open) {
        restartTimer();
        listener.changed(toChange(change));
      }
    }

    function restartTimer(): void {
      cancelTimer();
      cancelTimer = clock.schedule(silentMs, end);
    }

    function end(): void {
      if (open) {
        close();
        listener.ended();
      }
    }

    function close(): void {
      open = false;
      cancelTimer();
      cancelWatch();
    }
  }
}

function toResult<T>(
  kind: StoreCall,
  served: Served<Result<T, StoreUnavailable>>,
): Result<T, StoreUnavailable> {
  switch (served.kind) {
    case "answered":
      return served.value;
    case "lost":
    case "unavailable":
      return err(unavailable(kind, "mayHaveRun", served.kind));
    case "refuse":
    case "tooManyRequests":
      return err(unavailable(kind, "notRun", served.kind));
  }
}

function unavailable(
  kind: StoreCall,
  verdict: "notRun" | "mayHaveRun",
  reason: string,
): StoreUnavailable {
  const known = kind === "read" ? "notRun" : verdict;
  return new StoreUnavailable(known, `${kind}: ${reason}`);
}

function versioned(pair: Pair | undefined): VersionedValue | undefined {
  return pair && { key: pair.key, value: pair.value, revision: pair.revision };
}

function listing(keys: Keyspace, prefix: string): Listing {
  const values = keys.range(rangeOfPrefix(prefix)).map(
    ({ key, value, revision }) => ({ key, value, revision }),
  );
  return { values, revision: keys.revision() };
}

function toPut({ key, value, expectedRevision, lease }: Write) {
  return { key, value, expectedRevision, lease: lease?.id };
}

function toSwap(swapped: Swapped): Result<Swap, StoreUnavailable> {
  switch (swapped.kind) {
    case "swapped":
      return ok(swapped);
    case "conflict":
      return ok({ kind: "conflict", current: versioned(swapped.current) });
    case "leaseNotFound":
      return err(unavailable("swap", "notRun", "lease not found"));
  }
}

function toChange(change: KeyspaceChange): Change {
  return {
    key: keyOf(change),
    value: change.kind === "put" ? change.pair.value : undefined,
    revision: change.revision,
  };
}
