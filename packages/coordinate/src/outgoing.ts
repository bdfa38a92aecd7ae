/**
 * Job records on their way to their next owners, kept until the owner says
 * that it has them.
 */
import type { JobId, RecordSnapshot } from "@coltsfootreach/types";

export interface Batch {
  readonly number: number;
  readonly records: readonly RecordSnapshot[];
}

export interface Outgoing {
  add(entry: string, snapshot: RecordSnapshot): void;
  /** Takes what is to be sent to an entry now; may be empty. */
  nextBatch(entry: string): Batch;
  taken(entry: string, batch: number): void;
  /** Makes every batch that was not taken due again, on a new stream. */
  repeat(entry: string): void;
  /** Takes out the records for entries that are not present any more. */
  takeBack(present: ReadonlySet<string>): readonly RecordSnapshot[];
  isEmpty(): boolean;
}

interface Lane {
  readonly unsent: Map<JobId, RecordSnapshot>;
  readonly sent: Map<number, readonly RecordSnapshot[]>;
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
    takeBack(present) {
      const records: RecordSnapshot[] = [];
      for (const [entry, lane] of lanes) {
        if (present.has(entry)) continue;
        lanes.delete(entry);
        for (const batch of lane.sent.values()) records.push(...batch);
        records.push(...lane.unsent.values());
      }
      return records;
    },
    isEmpty() {
      for (const lane of lanes.values()) {
        if (lane.sent.size > 0 || lane.unsent.size > 0) return false;
      }
      return true;
    },
  };
}
