/** A side's guard that holds the evidence of many jobs. */
import { createGuard, type Guard } from "@coltsfootreach/guard";
import { ownerOf } from "@coltsfootreach/ownership";
import { type EntryFrame, jobId } from "@coltsfootreach/types";
import { createHello, createJob, createTable } from "./made_up.ts";

const KEEP_MS = 900_000;

const MEMBERS = 3;

/** Lets a guard run one task of each job for its owner under a table. */
export function createGuardWithJobs(count: number): Guard {
  const hello = createHello(0);
  if (hello.kind !== "hello") throw new Error("not a hello");
  const guard = createGuard({
    identity: hello.identity,
    freshnessMs: KEEP_MS,
    queuePerSlot: 1,
    keepEvidenceMs: KEEP_MS,
    keepResultsMs: 0,
    maxJobs: Infinity,
  });
  const table = createTable(1, MEMBERS);
  guard.announce(hello.announcement, 0);
  let sequence = 0;

  function frameOf(
    entry: string,
    messages: EntryFrame["messages"],
  ): EntryFrame {
    sequence += 1;
    return {
      entry,
      sequence,
      tableVersion: table.version,
      configurationVersion: 0,
      echoedStampMs: 1,
      readStampMs: 1,
      ack: 0,
      messages,
    };
  }

  for (const { incarnation } of table.members) {
    guard.receive(frameOf(incarnation, [{ kind: "table", table }]), 1);
  }
  for (let number = 0; number < count; number++) {
    const id = jobId(createJob(number, 1));
    const owner = ownerOf(table, id)!.incarnation;
    guard.receive(
      frameOf(owner, [{
        kind: "start",
        job: id,
        index: 0,
        attempt: 1,
        of: 1,
        class: "heat-check",
        body: "{}",
        size: { cores: 1, memoryMb: 0, accelerators: 0 },
        declaredMs: 250,
        leftMs: KEEP_MS,
      }]),
      1,
    );
    const outcome = {
      index: 0,
      state: "complete",
      verdict: "ran",
      body: "{}",
    } as const;
    guard.ended(id, outcome, 1);
    guard.receive(frameOf(owner, [{ kind: "closeJob", job: id }]), 1);
    guard.tick(2);
  }
  return guard;
}
