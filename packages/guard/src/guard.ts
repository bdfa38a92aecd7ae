/**
 * The start guard of a side. A task starts only when the entry that asks owns
 * the job under the newest table the side knows, that table is confirmed
 * fresh, and there is no evidence of the task. Every
 * refusal is a true `notRun`.
 */
import { isMember, ownerOf } from "@coltsfootreach/ownership";
import {
  type Announcement,
  canServe,
  type CollectEvidence,
  EMPTY_TABLE,
  type EntryFrame,
  type EntryMessage,
  type Hello,
  type JobId,
  type Load,
  type Revoke,
  type SealJob,
  type SideIdentity,
  type SideMessage,
  type Start,
  type StartRefusal,
  type StartRefusalReason,
  type Table,
  type TaskId,
  type TaskOutcome,
} from "@coltsfootreach/types";
import {
  createEvidenceTable,
  evidenceOf,
  type EvidenceOptions,
  type JobRecord,
  type QueuedStart,
} from "./evidence.ts";
import { createFence } from "./fence.ts";

export interface GuardOptions extends EvidenceOptions {
  readonly identity: SideIdentity;
  /** How long a confirmation of the table lasts, on the side's clock. */
  readonly freshnessMs: number;
  /** Starts that may wait here, as a multiple of the slots. */
  readonly queuePerSlot: number;
}

/** What the side must do next. */
export type GuardEffect =
  | { readonly kind: "run"; readonly start: Start }
  | { readonly kind: "stop"; readonly name: TaskId }
  | {
    readonly kind: "send";
    readonly entry: string;
    readonly message: SideMessage;
  }
  /** Every entry must hear the side's hello again. */
  | { readonly kind: "sayHello" }
  | { readonly kind: "tableAdopted"; readonly table: Table };

export interface Guard {
  receive(frame: EntryFrame, nowMs: number): readonly GuardEffect[];
  /** A task that was run has ended. */
  ended(
    job: JobId,
    outcome: TaskOutcome,
    nowMs: number,
  ): readonly GuardEffect[];
  /** The backend server announced itself, changed, or is gone. */
  announce(
    announcement: Announcement | undefined,
    nowMs: number,
  ): readonly GuardEffect[];
  /** From now on every start is refused. */
  drain(): readonly GuardEffect[];
  /** Operators take the backend server out of service, or back in. */
  setDrained(isDrained: boolean): readonly GuardEffect[];
  /** Drops old evidence and starts or refuses what waits. */
  tick(nowMs: number): readonly GuardEffect[];
  /** The hello that opens a stream. */
  hello(): Hello;
  table(): Table;
  load(): Load;
  /** Starts of one entry that run or wait here. */
  heldFor(entry: string): number;
  /** True when starts would be accepted from the owner of their job. */
  isOpen(nowMs: number): boolean;
  /** Why starts are refused now, for operators; undefined when they are not. */
  closedBecause(nowMs: number): StartRefusalReason | undefined;
}

export function createGuard(options: GuardOptions): Guard {
  const evidence = createEvidenceTable(options);
  const fence = createFence(options.freshnessMs);
  let table: Table = EMPTY_TABLE;
  let announcement: Announcement | undefined;
  let isDraining = false;
  let isDrained = false;
  let queue: QueuedStart[] = [];
  const runningFor: JobRecord[] = [];
  const lastSequence = new Map<string, number>();

  function hello(): Hello {
    return {
      kind: "hello",
      identity: options.identity,
      registration: fence.registration(),
      announcement,
      draining: isDraining || isDrained,
    };
  }

  /** Why nothing may start now, whether accepted before or not. */
  function fencedBecause(nowMs: number): StartRefusalReason | undefined {
    if (announcement === undefined) return "noServer";
    return fence.closedBecause(table, nowMs);
  }

  function closedBecause(nowMs: number): StartRefusalReason | undefined {
    return isDraining || isDrained ? "draining" : fencedBecause(nowMs);
  }

  function slots(): number {
    if (announcement === undefined) return 0;
    return Math.min(announcement.slots, announcement.connections);
  }

  function refuse(
    entry: string,
    refused: Omit<StartRefusal, "kind">,
  ): GuardEffect {
    return { kind: "send", entry, message: { kind: "refused", ...refused } };
  }

  function refusalOf(
    start: Start,
    frame: EntryFrame,
    nowMs: number,
  ): StartRefusalReason | undefined {
    if (frame.tableVersion !== table.version) return "staleTable";
    if (ownerOf(table, start.job)?.incarnation !== frame.entry) {
      return "notOwner";
    }
    const closed = closedBecause(nowMs);
    if (closed !== undefined) return closed;
    if (!canServe(announcement!, start)) return "doesNotFit";
    const room = slots() * (1 + options.queuePerSlot);
    return runningFor.length + queue.length < room ? undefined : "queueFull";
  }

  function noteSender(record: JobRecord, entry: string): void {
    record.sender = entry;
    record.senderVersion = table.version;
  }

  /** Answers a start of a task that this side knows already. */
  function repeat(
    record: JobRecord,
    start: Start,
    frame: EntryFrame,
  ): readonly GuardEffect[] {
    const isOwner = frame.tableVersion === table.version &&
      ownerOf(table, start.job)?.incarnation === frame.entry;
    if (!isOwner) return [];
    noteSender(record, frame.entry);
    const task = record.tasks.get(start.index)!;
    if (task.state === "queued") task.queued.start = start;
    if (task.state === "running") {
      const { attempt } = start;
      record.tasks.set(start.index, { state: "running", attempt });
    }
    if (task.state !== "finished") return [];
    const outcome = task.outcome ?? lostResult(start.index);
    return [{
      kind: "send",
      entry: frame.entry,
      message: { kind: "result", job: start.job, outcome },
    }];
  }

  function take(
    start: Start,
    frame: EntryFrame,
    nowMs: number,
  ): readonly GuardEffect[] {
    const known = evidence.find(start.job);
    if (known?.tasks.has(start.index)) return repeat(known, start, frame);
    const { job, index, attempt } = start;
    const reason = known?.sealed ? "revoked" : refusalOf(start, frame, nowMs);
    if (reason !== undefined) {
      return [refuse(frame.entry, { job, index, attempt, reason })];
    }
    const record = evidence.open(start, frame.entry, nowMs);
    if (record === undefined) {
      const full = { job, index, attempt, reason: "evidenceFull" } as const;
      return [refuse(frame.entry, full)];
    }
    noteSender(record, frame.entry);
    const queued: QueuedStart = { record, start, queuedAtMs: nowMs };
    record.tasks.set(index, { state: "queued", queued });
    enqueue(queued);
    return [];
  }

  /** Small jobs go before large ones that came a little earlier. */
  function enqueue(queued: QueuedStart): void {
    const rank = rankOf(queued);
    let at = queue.length;
    while (at > 0 && rankOf(queue[at - 1]!) > rank) at -= 1;
    queue.splice(at, 0, queued);
  }

  function rankOf({ start, queuedAtMs }: QueuedStart): number {
    return queuedAtMs + (start.of * start.declaredMs) / Math.max(1, slots());
  }

  /** Starts what waits while there are slots; the fence is checked again. */
  function startQueued(nowMs: number): readonly GuardEffect[] {
    const effects: GuardEffect[] = [];
    while (queue.length > 0) {
      const head = queue[0]!;
      const reason = refusalOfQueued(head, nowMs);
      if (reason === undefined && runningFor.length >= slots()) break;
      queue.shift();
      const { record, start } = head;
      const { job, index, attempt } = start;
      if (reason !== undefined) {
        record.tasks.delete(index);
        effects.push(refuse(record.sender, { job, index, attempt, reason }));
        continue;
      }
      runningFor.push(record);
      record.tasks.set(index, { state: "running", attempt });
      effects.push({ kind: "run", start });
    }
    return effects;
  }

  function refusalOfQueued(
    queued: QueuedStart,
    nowMs: number,
  ): StartRefusalReason | undefined {
    const fenced = fencedBecause(nowMs);
    if (fenced !== undefined) return fenced;
    const leftMs = queued.start.leftMs - (nowMs - queued.queuedAtMs);
    return leftMs > 0 ? undefined : "deadlinePassed";
  }

  function adopt(next: Table): readonly GuardEffect[] {
    if (next.version <= table.version) return [];
    table = next;
    fence.adopt(table);
    for (const entry of lastSequence.keys()) {
      if (!isMember(table, entry)) lastSequence.delete(entry);
    }
    // The next owner may start these elsewhere, so they must not start here.
    const kept: QueuedStart[] = [];
    for (const queued of queue) {
      const owner = ownerOf(table, queued.record.job)?.incarnation;
      if (owner === queued.record.sender) {
        kept.push(queued);
      } else {
        queued.record.tasks.delete(queued.start.index);
      }
    }
    queue = kept;
    return [{ kind: "tableAdopted", table }];
  }

  function revoke(
    message: Revoke,
    frame: EntryFrame,
  ): readonly GuardEffect[] {
    const { job, index, attempt } = message;
    if (ownerOf(table, job)?.incarnation !== frame.entry) return [];
    const record = evidence.find(job);
    const task = record?.tasks.get(index);
    if (task?.state === "running") {
      return message.stop ? [{ kind: "stop", name: { job, index } }] : [];
    }
    if (task?.state === "finished") return [];
    if (task?.state === "queued") {
      queue = queue.filter((queued) => queued !== task.queued);
      record!.tasks.delete(index);
    }
    const reason = "revoked" as const;
    return [refuse(frame.entry, { job, index, attempt, reason })];
  }

  function collect(
    message: CollectEvidence,
    frame: EntryFrame,
  ): readonly GuardEffect[] {
    if (message.tableVersion > table.version) return [];
    const jobs = [];
    for (const record of evidence.jobs()) {
      const isKnown = record.sender === frame.entry &&
        record.senderVersion >= message.keptSince;
      if (isKnown) continue;
      const owner = ownerOf(table, record.job);
      if (owner?.incarnation !== frame.entry) continue;
      noteSender(record, frame.entry);
      // Nothing of a job whose waiting starts were dropped has started.
      if (record.tasks.size === 0 && !record.sealed) continue;
      jobs.push(evidenceOf(record));
    }
    return [{
      kind: "send",
      entry: frame.entry,
      message: {
        kind: "evidence",
        tableVersion: message.tableVersion,
        jobs,
      },
    }];
  }

  function seal(
    message: SealJob,
    frame: EntryFrame,
    nowMs: number,
  ): readonly GuardEffect[] {
    const record = evidence.open(message, frame.entry, nowMs);
    if (record === undefined) return [];
    record.sealed = true;
    const sealed = { kind: "jobSealed", job: message.job } as const;
    return [{ kind: "send", entry: frame.entry, message: sealed }];
  }

  function registerAnew(lost: number, nowMs: number): readonly GuardEffect[] {
    if (!fence.registerAnew(lost, nowMs)) return [];
    return [{ kind: "sayHello" }];
  }

  function handle(
    message: EntryMessage,
    frame: EntryFrame,
    nowMs: number,
  ): readonly GuardEffect[] {
    switch (message.kind) {
      case "table":
        return adopt(message.table);
      case "start":
        return take(message, frame, nowMs);
      case "revoke":
        return revoke(message, frame);
      case "collect":
        return collect(message, frame);
      case "registrationLost":
        return registerAnew(message.registration, nowMs);
      case "sealJob":
        return seal(message, frame, nowMs);
      case "closeJob":
        evidence.close(message.job, nowMs);
        return [];
      case "configuration":
        return [];
    }
  }

  function report(
    record: JobRecord,
    outcome: TaskOutcome,
  ): GuardEffect {
    const { job, sender, tasks } = record;
    const task = tasks.get(outcome.index);
    if (outcome.verdict !== "notRun") {
      tasks.set(outcome.index, { state: "finished", outcome });
      const message = { kind: "result", job, outcome } as const;
      return { kind: "send", entry: sender, message };
    }
    tasks.delete(outcome.index);
    const attempt = task?.state === "running" ? task.attempt : 0;
    const reason = "connectionRefused" as const;
    return refuse(sender, { job, index: outcome.index, attempt, reason });
  }

  return {
    receive(frame, nowMs) {
      if (frame.sequence <= (lastSequence.get(frame.entry) ?? -1)) return [];
      lastSequence.set(frame.entry, frame.sequence);
      fence.hear(frame);
      const effects: GuardEffect[] = [];
      for (const message of frame.messages) {
        effects.push(...handle(message, frame, nowMs));
      }
      effects.push(...startQueued(nowMs));
      return effects;
    },
    ended(job, outcome, nowMs) {
      const record = evidence.find(job);
      const at = runningFor.findIndex((other) => other === record);
      if (at >= 0) runningFor.splice(at, 1);
      const effects = record === undefined ? [] : [report(record, outcome)];
      return [...effects, ...startQueued(nowMs)];
    },
    announce(next, nowMs) {
      announcement = next;
      return [{ kind: "sayHello" }, ...startQueued(nowMs)];
    },
    drain() {
      isDraining = true;
      return [{ kind: "sayHello" }];
    },
    setDrained(next) {
      if (isDrained === next) return [];
      isDrained = next;
      return [{ kind: "sayHello" }];
    },
    tick(nowMs) {
      evidence.expire(nowMs);
      return startQueued(nowMs);
    },
    hello,
    table: () => table,
    load: () => ({ running: runningFor.length, queued: queue.length }),
    heldFor(entry) {
      const running = runningFor.filter((record) => record.sender === entry);
      const queued = queue.filter((start) => start.record.sender === entry);
      return running.length + queued.length;
    },
    isOpen: (nowMs) => closedBecause(nowMs) === undefined,
    closedBecause,
  };
}

function lostResult(index: number): TaskOutcome {
  return {
    index,
    state: "failed",
    verdict: "ran",
    reason: "the task ran but its result is no longer kept",
  };
}
