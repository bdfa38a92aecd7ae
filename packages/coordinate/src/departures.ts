/** Records which backend servers and entries go away, and when they return. */
import type { Member, Rules, Table } from "@coltsfootreach/types";
import type { SideState } from "./sides.ts";
import type { StandingActs } from "./standing_acts.ts";

export interface Departures {
  /** A side has said hello; `before` is what it offered until then. */
  noteSide(before: string | undefined, side: SideState): void;
  noteTable(before: Table, after: Table): void;
}

export interface DepartureOptions {
  readonly acts: StandingActs;
  sidesKnown(): number;
  rules(): Pick<Rules, "gone" | "drained">;
}

/** The backend server that a side gives work to; undefined when it does not. */
export function offerOf(side: SideState | undefined): string | undefined {
  return side?.draining === false ? side.announcement?.server : undefined;
}

export function createDepartures(options: DepartureOptions): Departures {
  const { acts } = options;

  function noteDrain(table: Table, member: Member): void {
    acts.begin({
      kind: "drain",
      subject: member.name,
      why: "it was told to stop and hands its jobs to the other entries",
      figures: figuresOf(table),
    });
  }

  function noteTakeover(table: Table, lost: Member): void {
    const why = options.rules().gone.includes(lost.incarnation)
      ? "an operator declared it gone, so its keys go to the other entries"
      : "its lease lapsed or its process ended, so its keys go to the others";
    acts.begin({
      kind: "takeOver",
      subject: lost.name,
      why,
      figures: figuresOf(table),
    });
  }

  function figuresOf(table: Table) {
    const left = table.members.filter((member) => !member.draining);
    return {
      tableVersion: table.version,
      entriesLeft: left.length,
      sidesKnown: options.sidesKnown(),
    };
  }

  function noteReturn({ name }: Member): void {
    acts.end("drain", name);
    acts.end("takeOver", name);
  }

  return {
    noteSide(before, side) {
      const offer = offerOf(side);
      if (offer !== undefined) acts.end("drain", offer);
      if (before === undefined || offer === before) return;
      if (options.rules().drained.includes(before)) return;
      acts.begin({
        kind: "drain",
        subject: before,
        why: side.draining
          ? "its side was told to stop; what runs there is awaited"
          : "it announces itself no more; what runs there is awaited",
        figures: {
          outstanding: side.outstanding,
          running: side.load.running,
          queued: side.load.queued,
        },
      });
    },
    noteTable(before, after) {
      for (const member of before.members) {
        const isMember = (one: Member) =>
          one.incarnation === member.incarnation;
        const isRemoved = after.removals.some(({ incarnation }) =>
          incarnation === member.incarnation
        );
        const now = after.members.find(isMember);
        if (now?.draining && !member.draining) noteDrain(after, member);
        if (now === undefined && isRemoved) noteTakeover(after, member);
      }
      for (const member of after.members) {
        const isNew = !before.members.some(({ incarnation }) =>
          incarnation === member.incarnation
        );
        if (isNew && !member.draining) noteReturn(member);
      }
    },
  };
}
