/**
 * Sizes of the messages that grow with the fleet, as they are encoded, and the
 * time of a side to give its evidence.
 */
import { Packr } from "msgpackr";
import type { Registration } from "@coltsfootreach/types";
import { createTable, incarnationOf, withoutLast } from "./made_up.ts";
import { createGuardWithJobs } from "./made_up_side.ts";
import { createSeries, type Series } from "./series.ts";
import { median } from "./watched.ts";

const MEMBERS = [3, 30, 100, 300];

const SIDES = [10, 100, 1000, 3000];

const JOBS = [1000, 5000, 20_000];

const ROUNDS = 3;

const packr = new Packr({ useRecords: true, encodeUndefinedAsNil: false });

function sizeOf(message: unknown): number {
  return packr.pack(message).length;
}

function registrations(sides: number): readonly Registration[] {
  return Array.from({ length: sides }, (_, side) => ({
    incarnation: incarnationOf(side),
    registration: 1,
  }));
}

/** Milliseconds of a side to answer one entry after another was removed. */
function measureEvidence(jobs: number): number {
  const guard = createGuardWithJobs(jobs);
  const table = withoutLast(guard.table());
  const { version } = table;
  const frame = {
    entry: table.members[0]!.incarnation,
    sequence: Number.MAX_SAFE_INTEGER,
    tableVersion: version,
    configurationVersion: 0,
    echoedStampMs: 1,
    readStampMs: 1,
    ack: 0,
    messages: [
      { kind: "table", table } as const,
      { kind: "collect", tableVersion: version, keptSince: 0 } as const,
    ],
  };
  const startedAtMs = performance.now();
  const effects = guard.receive(frame, 2);
  const elapsedMs = performance.now() - startedAtMs;
  const isAnswered = effects.some((effect) =>
    effect.kind === "send" && effect.message.kind === "evidence"
  );
  if (!isAnswered) throw new Error("the guard gave no evidence");
  return elapsedMs;
}

export function measureMessages(): readonly Series[] {
  const subject = "core" as const;
  return [
    createSeries({
      name: "table.bytes",
      y: "bytes of a table",
      x: "members",
      subject,
      points: MEMBERS.map((x) => ({ x, y: sizeOf(createTable(1, x)) })),
    }),
    createSeries({
      name: "registrations.bytes",
      y: "bytes of the registrations in one hand-over message",
      x: "sides",
      subject,
      points: SIDES.map((x) => ({ x, y: sizeOf(registrations(x)) })),
    }),
    createSeries({
      name: "side.evidence.time",
      y: "time of a side to give one entry its evidence, ms",
      x: "jobs with evidence",
      subject,
      points: JOBS.map((x) => ({
        x,
        y: median(Array.from({ length: ROUNDS }, () => measureEvidence(x))),
      })),
    }),
  ];
}
