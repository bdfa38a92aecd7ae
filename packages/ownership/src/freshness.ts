/**
 * How long a side may trust its table of entries. All times are on the side's
 * own clock: it stamps its frames, and entries echo the stamps, so delays and
 * pauses only make a confirmation older.
 *
 * A version is confirmed at the newest stamp for which either one entry had
 * seen the stamp before it began a read of the store that returned this
 * version, or a majority of the version's members had seen the stamp while the
 * version was the newest they knew.
 */
import type { EntryFrame, Table } from "@coltsfootreach/types";
import { isMember, majorityOf } from "./owner.ts";

interface Heard {
  readonly version: number;
  readonly echoedStampMs: number;
  readonly readStampMs: number;
}

export interface Freshness {
  /** Takes in the header of a frame from an entry. */
  hear(
    header: Pick<
      EntryFrame,
      "entry" | "tableVersion" | "echoedStampMs" | "readStampMs"
    >,
  ): void;
  /** Forgets entries that are not members of the table. */
  retain(table: Table): void;
  /** The newest stamp of this side that the entry has echoed. */
  echoOf(entry: string): number | undefined;
  /** When the table was last known to be the newest; -Infinity if never. */
  confirmedAtMs(table: Table): number;
}

export function createFreshness(): Freshness {
  const heard = new Map<string, Heard>();

  function majorityEcho(table: Table): number {
    const echoes: number[] = [];
    for (const member of table.members) {
      const word = heard.get(member.incarnation);
      if (word?.version === table.version) echoes.push(word.echoedStampMs);
    }
    echoes.sort((left, right) => right - left);
    return echoes[majorityOf(table.members.length) - 1] ?? -Infinity;
  }

  return {
    hear(header) {
      heard.set(header.entry, {
        version: header.tableVersion,
        echoedStampMs: header.echoedStampMs,
        readStampMs: header.readStampMs,
      });
    },
    retain(table) {
      for (const entry of heard.keys()) {
        if (!isMember(table, entry)) heard.delete(entry);
      }
    },
    echoOf(entry) {
      return heard.get(entry)?.echoedStampMs;
    },
    confirmedAtMs(table) {
      let confirmed = majorityEcho(table);
      for (const [entry, word] of heard) {
        if (!isMember(table, entry)) continue;
        if (word.version !== table.version || word.readStampMs < 0) continue;
        confirmed = Math.max(confirmed, word.readStampMs);
      }
      return confirmed;
    },
  };
}
