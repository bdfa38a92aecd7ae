/**
 * Lists of the sides that may take a task of a class and size. A list is kept
 * while nothing changes that decides who is on it, because an entry places
 * many tasks between two such changes.
 */
import type { Candidate } from "@coltsfootreach/place";
import { canServe, type TaskRequirements } from "@coltsfootreach/types";
import type { Sides, SideState } from "./sides.ts";

/** Pauses and lags end with time alone, so a list is made anew after this. */
const REFRESH_MS = 50;

/** Lists of different needs that are kept at once. */
const MAX_LISTS = 256;

export interface CandidateOptions {
  readonly sides: Sides;
  /** The version of the table that a side must follow. */
  tableVersion(): number;
  /** Whether a live side may take work at all now. */
  admits(side: SideState, nowMs: number): boolean;
}

export interface Candidates {
  find(need: TaskRequirements, nowMs: number): readonly Candidate[];
  /** Something has changed besides the sides themselves. */
  changed(): void;
}

interface List {
  readonly candidates: readonly Candidate[];
  readonly madeAtMs: number;
}

export function createCandidates(options: CandidateOptions): Candidates {
  const { sides } = options;
  const lists = new Map<string, List>();
  let revision = -1;

  function make(need: TaskRequirements, nowMs: number): readonly Candidate[] {
    const found: Candidate[] = [];
    for (const side of sides.all()) {
      if (isLive(side, nowMs) && fits(side, need)) {
        if (options.admits(side, nowMs)) found.push(candidateOf(side));
      }
    }
    return found;
  }

  function isLive(side: SideState, nowMs: number): boolean {
    return side.connected && !side.lost && !side.draining &&
      side.pausedUntilMs <= nowMs &&
      side.tableVersion === options.tableVersion();
  }

  return {
    find(need, nowMs) {
      if (sides.revision() !== revision || lists.size > MAX_LISTS) {
        revision = sides.revision();
        lists.clear();
      }
      const { cores, memoryMb, accelerators } = need.size;
      const key = `${need.class}/${cores}/${memoryMb}/${accelerators}`;
      const known = lists.get(key);
      if (known !== undefined && nowMs - known.madeAtMs < REFRESH_MS) {
        return known.candidates;
      }
      const candidates = make(need, nowMs);
      lists.set(key, { candidates, madeAtMs: nowMs });
      return candidates;
    },
    changed() {
      lists.clear();
    },
  };
}

function fits(side: SideState, need: TaskRequirements): boolean {
  const offer = side.announcement;
  return offer !== undefined && canServe(offer, need);
}

/** A view of a side that stays current while it is on a list. */
function candidateOf(side: SideState): Candidate {
  const offer = side.announcement!;
  return {
    side: side.identity.incarnation,
    server: offer.server,
    dataCentre: side.identity.dataCentre,
    slots: Math.min(offer.slots, offer.connections),
    get outstanding() {
      return side.outstanding;
    },
    get load() {
      return side.load;
    },
    get loadAtMs() {
      return side.loadAtMs;
    },
    get outstandingAtLoad() {
      return side.held;
    },
    classes: offer.classes,
    size: offer.size,
  };
}
