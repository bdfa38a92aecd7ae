/**
 * The open watches of a keyspace. Each is told the changes of its range in the
 * order of their revisions, one batch per revision.
 */
import type { KeyRange, Keyspace, KeyspaceChange } from "./keyspace.ts";

export interface Watcher {
  readonly range: KeyRange;
  /** First revision to report; 0 means from now on. */
  readonly from: number;
  changed(revision: number, changes: readonly KeyspaceChange[]): void;
  /** The revision reached so far, without a change. */
  progressed(revision: number): void;
  /** The changes asked for are forgotten. */
  compacted(revision: number): void;
  /** The service is gone; nothing more follows. */
  broken(): void;
}

export interface Watchers {
  /** Returns what ends the watch. */
  add(watcher: Watcher): () => void;
  /** Tells each watch the changes that it has not been told. */
  flush(): void;
  /** Tells each watch the revision reached. */
  reportProgress(): void;
  /** Makes the open watches silent for good. */
  silence(): void;
  /** Ends all watches. */
  breakAll(): void;
  size(): number;
}

interface Position {
  next: number;
  silent: boolean;
}

export function createWatchers(keyspace: Keyspace): Watchers {
  const positions = new Map<Watcher, Position>();

  return {
    add,
    flush,
    reportProgress,
    silence,
    breakAll,
    size: () => positions.size,
  };

  function add(watcher: Watcher): () => void {
    const next = watcher.from === 0 ? keyspace.revision() + 1 : watcher.from;
    positions.set(watcher, { next, silent: false });
    return () => {
      positions.delete(watcher);
    };
  }

  function flush(): void {
    for (const [watcher, position] of [...positions]) {
      if (!position.silent) {
        advance(watcher, position);
      }
    }
  }

  function advance(watcher: Watcher, position: Position): void {
    if (position.next <= keyspace.compacted()) {
      positions.delete(watcher);
      watcher.compacted(keyspace.compacted());
      return;
    }
    const changes = keyspace.changes(watcher.range, position.next);
    position.next = Math.max(position.next, keyspace.revision() + 1);
    for (const [revision, batch] of byRevision(changes)) {
      watcher.changed(revision, batch);
    }
  }

  function reportProgress(): void {
    for (const [watcher, { silent }] of positions) {
      if (!silent) {
        watcher.progressed(keyspace.revision());
      }
    }
  }

  function silence(): void {
    for (const position of positions.values()) {
      position.silent = true;
    }
  }

  function breakAll(): void {
    const broken = [...positions.keys()];
    positions.clear();
    broken.forEach((watcher) => watcher.broken());
  }
}

function byRevision(
  changes: readonly KeyspaceChange[],
): ReadonlyMap<number, readonly KeyspaceChange[]> {
  const batches = new Map<number, KeyspaceChange[]>();
  for (const change of changes) {
    const batch = batches.get(change.revision) ?? [];
    batch.push(change);
    batches.set(change.revision, batch);
  }
  return batches;
}
