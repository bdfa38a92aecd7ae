/**
 * Job records on their way to their next owners, kept until the owner says
 * that it has them.
 */
import type { JobId, JobRecordSnapshot } from "@coltsfootreach/types";

export interface Batch {
  readonly number: number;
  readonly records: readonly JobRecordSnapshot[];
}

export interface Outgoing {
  add(entry: string, snapshot: JobRecordSnapshot): void;
  /** Takes what is to be sent to an entry now; may be empty. */
  nextBatch(entry: string): Batch;
  taken(entry: string, batch: number): void;
  /** Makes every batch that was not taken due again, on a new stream. */
  repeat(entry: string): void;
  /** Takes out the records that now belong to another entry. */
  takeBack(isOwner: IsOwner): readonly JobRecordSnapshot[];
  isEmpty(): boolean;
}

export type IsOwner = (entry: string, job: JobId) => boolean;

interface Lane {
  readonly unsent: Map<JobId, JobRecordSnapshot>;
  readonly sent: Map<number, readonly JobRecordSnapshot[]>;
}

export function createOutgoing(): Outgoing {
  const lanes = new Map<string, Lane>();
  let batches = 0;

  function laneOf(entry: string): Lane {
    const known = lanes.get(entry);
    if (known !== undefined) return known;
    const lane: Lane = { unsent: new Map(), sent: new Map() };
    lanes.set(entry, lane);
    return lane;
  }

  return {
    add(entry, snapshot) {
      laneOf(entry).unsent.set(snapshot.id, snapshot);
    },
    nextBatch(entry) {
      batches += 1;
      const lane = lanes.get(entry);
      const records = [...lane?.unsent.values() ?? []];
      if (lane !== undefined && records.length > 0) {
        lane.unsent.clear();
        lane.sent.set(batches, records);
      }
      return { number: batches, records };
    },
    taken(entry, batch) {
      lanes.get(entry)?.sent.delete(batch);
    },
    repeat(entry) {
      const lane = lanes.get(entry);
      if (lane === undefined) return;
      for (const records of lane.sent.values()) {
        for (const record of records) lane.unsent.set(record.id, record);
      }
      lane.sent.clear();
    },
    takeBack(isOwner) {
      const moved = new Map<JobId, JobRecordSnapshot>();
      for (const [entry, lane] of lanes) {
        const records = [...lane.sent.values()].flat();
        for (const record of [...records, ...lane.unsent.values()]) {
          if (!isOwner(entry, record.id)) moved.set(record.id, record);
        }
        removeFrom(lane, (record) => !isOwner(entry, record.id));
      }
      return [...moved.values()];
    },
    isEmpty() {
      for (const lane of lanes.values()) {
        if (lane.sent.size > 0 || lane.unsent.size > 0) return false;
      }
      return true;
    },
  };
}

function removeFrom(
  lane: Lane,
  isMoved: (record: JobRecordSnapshot) => boolean,
): void {
  for (const record of lane.unsent.values()) {
    if (isMoved(record)) lane.unsent.delete(record.id);
  }
  for (const [batch, records] of lane.sent) {
    const kept = records.filter((record) => !isMoved(record));
    if (kept.length === 0) lane.sent.delete(batch);
    else lane.sent.set(batch, kept);
  }
}
