/**
 * The state of the key-value service: revisions, keys, leases and the history
 * of changes. It does no I/O and is told the time with each call.
 */

export interface Pair {
  readonly key: string;
  readonly value: string;
  readonly createRevision: number;
  readonly revision: number;
  /** Number of writes since the key was created. */
  readonly version: number;
  readonly lease?: string | undefined;
}

/** The keys from `start` up to and without `end`; no end means all after. */
export interface KeyRange {
  readonly start: string;
  readonly end?: string | undefined;
}

export type KeyspaceChange =
  | { readonly kind: "put"; readonly revision: number; readonly pair: Pair }
  | {
    readonly kind: "delete";
    readonly revision: number;
    readonly key: string;
  };

export interface Guard {
  readonly key: string;
  /** Revision of the key's last change; 0 when it must be absent. */
  readonly expectedRevision: number;
}

export interface Put extends Guard {
  readonly value: string;
  readonly lease?: string | undefined;
}

export type Swapped =
  | { readonly kind: "swapped"; readonly revision: number }
  | { readonly kind: "conflict"; readonly current: Pair | undefined }
  | { readonly kind: "leaseNotFound" };

export interface GrantedLease {
  readonly id: string;
  readonly ttlSeconds: number;
}

interface HeldLease extends GrantedLease {
  readonly expiresAtMs: number;
}

export interface Keyspace {
  revision(): number;
  get(key: string): Pair | undefined;
  /** Pairs in a range in the order of their keys. */
  range(range: KeyRange): readonly Pair[];
  put(put: Put): Swapped;
  delete(guard: Guard): Swapped;
  grant(ttlSeconds: number, nowMs: number): GrantedLease;
  /** The lease with its full time to live, or undefined when it has lapsed. */
  keepAlive(id: string, nowMs: number): GrantedLease | undefined;
  /** False when there is no such lease. */
  revoke(id: string): boolean;
  /** Drops the leases that have run out, with their keys. */
  expire(nowMs: number): void;
  /** Drops every lease, with its keys, as if its time had run out. */
  lapseAll(): void;
  /** When the next lease runs out. */
  nextExpiryMs(): number | undefined;
  /** Forgets the changes up to a revision. */
  compact(revision: number): void;
  /** The last revision whose changes are forgotten. */
  compacted(): number;
  /** Changes in a range from a revision on, oldest first. */
  changes(range: KeyRange, from: number): readonly KeyspaceChange[];
}

const MS_PER_SECOND = 1000;

export function createKeyspace(): Keyspace {
  const pairs = new Map<string, Pair>();
  const leases = new Map<string, HeldLease>();
  let history: KeyspaceChange[] = [];
  let revision = 1;
  let compactedRevision = 0;
  let leasesGranted = 0;

  return {
    revision: () => revision,
    get: (key) => pairs.get(key),
    range,
    put,
    delete: deletePair,
    grant,
    keepAlive,
    revoke,
    expire,
    lapseAll: () => drop([...leases.keys()]),
    nextExpiryMs,
    compact,
    compacted: () => compactedRevision,
    changes,
  };

  function range(wanted: KeyRange): readonly Pair[] {
    return [...pairs.values()]
      .filter(({ key }) => isInside(wanted, key))
      .sort((a, b) => (a.key < b.key ? -1 : 1));
  }

  function put({ key, value, lease, expectedRevision }: Put): Swapped {
    const before = pairs.get(key);
    if ((before?.revision ?? 0) !== expectedRevision) {
      return { kind: "conflict", current: before };
    }
    if (lease !== undefined && !leases.has(lease)) {
      return { kind: "leaseNotFound" };
    }
    revision++;
    const createRevision = before?.createRevision ?? revision;
    const version = (before?.version ?? 0) + 1;
    const pair = { key, value, createRevision, revision, version, lease };
    pairs.set(key, pair);
    history.push({ kind: "put", revision, pair });
    return { kind: "swapped", revision };
  }

  function deletePair({ key, expectedRevision }: Guard): Swapped {
    const before = pairs.get(key);
    if ((before?.revision ?? 0) !== expectedRevision) {
      return { kind: "conflict", current: before };
    }
    deleteAll([key]);
    return { kind: "swapped", revision };
  }

  function deleteAll(keys: readonly string[]): void {
    const present = keys.filter((key) => pairs.delete(key));
    if (present.length === 0) {
      return;
    }
    revision++;
    for (const key of present) {
      history.push({ kind: "delete", revision, key });
    }
  }

  function grant(ttlSeconds: number, nowMs: number): GrantedLease {
    leasesGranted++;
    const id = String(leasesGranted);
    leases.set(id, held({ id, ttlSeconds }, nowMs));
    return { id, ttlSeconds };
  }

  function keepAlive(id: string, nowMs: number): GrantedLease | undefined {
    const lease = leases.get(id);
    if (lease === undefined) {
      return undefined;
    }
    leases.set(id, held(lease, nowMs));
    return { id, ttlSeconds: lease.ttlSeconds };
  }

  function revoke(id: string): boolean {
    const known = leases.has(id);
    drop([id]);
    return known;
  }

  function expire(nowMs: number): void {
    const lapsed = [...leases.values()].filter(
      ({ expiresAtMs }) => expiresAtMs <= nowMs,
    );
    drop(lapsed.map(({ id }) => id));
  }

  function drop(ids: readonly string[]): void {
    for (const id of ids) {
      leases.delete(id);
      const attached = [...pairs.values()].filter(({ lease }) => lease === id);
      deleteAll(attached.map(({ key }) => key));
    }
  }

  function nextExpiryMs(): number | undefined {
    const times = [...leases.values()].map(({ expiresAtMs }) => expiresAtMs);
    return times.length === 0 ? undefined : Math.min(...times);
  }

  function compact(upTo: number): void {
    compactedRevision = Math.min(upTo, revision);
    history = history.filter((change) => change.revision > compactedRevision);
  }

  function changes(wanted: KeyRange, from: number): readonly KeyspaceChange[] {
    return history.slice(firstIndex(from)).filter((change) =>
      isInside(wanted, keyOf(change))
    );
  }

  function firstIndex(from: number): number {
    let low = 0;
    let high = history.length;
    while (low < high) {
      const middle = (low + high) >>> 1;
      if ((history[middle]?.revision ?? from) < from) {
        low = middle + 1;
      } else {
        high = middle;
      }
    }
    return low;
  }
}

export function keyOf(change: KeyspaceChange): string {
  return change.kind === "put" ? change.pair.key : change.key;
}

function held(lease: GrantedLease, nowMs: number): HeldLease {
  const { id, ttlSeconds } = lease;
  return { id, ttlSeconds, expiresAtMs: nowMs + ttlSeconds * MS_PER_SECOND };
}

function isInside({ start, end }: KeyRange, key: string): boolean {
  return key >= start && (end === undefined || key < end);
}
