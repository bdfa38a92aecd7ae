/**
 * A whole system in simulated time: entries and sides with their real cores,
 * fake links, backend servers and store, callers who resubmit, and a checker.
 */
import type { EntryCore, EntryOptions } from "@coltsfootreach/coordinate";
import type { Guard, GuardOptions } from "@coltsfootreach/guard";
import { ownerOf } from "@coltsfootreach/ownership";
import { type Job, type JobId, jobId, type Reply } from "@coltsfootreach/types";
import { createAgenda } from "./agenda.ts";
import { type Checker, createChecker, type Violation } from "./checker.ts";
import {
  createEntryProcess,
  type EntryProcess,
  wallAt,
} from "./entry_process.ts";
import { createHost, type Host } from "./host.ts";
import { createNetwork, type Network } from "./network.ts";
import { createRandom } from "./random.ts";
import {
  createServer,
  createStartLog,
  type Server,
  type StartLog,
} from "./server.ts";
import { DEFAULT_LIMITS, type Limits } from "./settings.ts";
import { createSideProcess, type SideProcess } from "./side_process.ts";
import { createTableStore, type TableStore } from "./table_store.ts";

/** Replaces parts of the protocol, to show that their loss is noticed. */
export interface Mutation {
  readonly limits?: Partial<Limits>;
  createGuard?(options: GuardOptions): Guard;
  createCore?(options: EntryOptions): EntryCore;
}

export interface HarnessOptions {
  readonly seed?: number;
  readonly entries: readonly string[];
  readonly sides: readonly string[];
  /** Sides that are not started yet. */
  readonly spareSides?: readonly string[];
  readonly slots?: number;
  readonly runMs?: number;
  readonly limits?: Partial<Limits>;
  readonly mutation?: Mutation | undefined;
  /** Keeps what is needed to tell states apart. */
  readonly isRecorded?: boolean;
  /** Callers whose entry is lost ask another one. */
  readonly resubmits?: boolean;
}

/** What a caller asked and was told. */
export interface Call {
  readonly id: JobId;
  readonly kind: "submit" | "cancel" | "read";
  readonly entry: string;
  readonly incarnation: string;
  /** When the entry took the request in. */
  askedAtMs: number;
  reply: Reply | undefined;
  /** The entry was killed while it held the request. */
  isBroken: boolean;
}

export interface Harness {
  readonly network: Network;
  readonly store: TableStore;
  readonly log: StartLog;
  readonly checker: Checker;
  nowMs(): number;
  advance(ms: number): void;
  entry(name: string): EntryProcess | undefined;
  side(name: string): SideProcess | undefined;
  server(side: string): Server;
  entryNames(): readonly string[];
  sideNames(): readonly string[];
  startEntry(name: string): void;
  startSide(name: string): void;
  killEntry(name: string): void;
  killSide(name: string): void;
  drainEntry(name: string): void;
  drainSide(name: string): void;
  /** A job whose key is owned by the given entry now, if one is named. */
  makeJob(name: string, options: JobOptions): Job;
  job(name: string): Job;
  submit(name: string, entry: string): void;
  cancel(name: string, entry: string): void;
  read(name: string, entry: string): void;
  calls(): readonly Call[];
  callsOf(name: string): readonly Call[];
  /** Ends all faults. */
  heal(): void;
  /** Ends all faults; every request must be answered within the time given. */
  settle(ms: number): void;
  /**
   * Everything that can matter later: what each process has taken in, and the
   * network, store and servers between them. Ends the recording.
   */
  takeState(): unknown;
  note(event: string): void;
  trace(): readonly string[];
  violations(): readonly Violation[];
}

export interface JobOptions {
  readonly tasks: number;
  readonly owner?: string | undefined;
  readonly deadlineMs?: number | undefined;
  /** How far the caller's clock is ahead of the entries', in milliseconds. */
  readonly aheadMs?: number | undefined;
}

const DEFAULT_DEADLINE_MS = 8000;
const DEFAULT_RUN_MS = 500;

/** Pause before a caller whose entry is gone asks another. */
const RESUBMIT_MS = 100;

/** Clocks of processes start this far apart, in milliseconds. */
const CLOCK_STEP_MS = 7919;

/** Time in which the entries and sides of a new harness find each other. */
const WARM_UP_MS = 2500;

/** More hosts than a run can have, to keep their random numbers apart. */
const MAX_HOSTS = 1000;

const MAX_KEYS_TRIED = 10_000;

export function createHarness(options: HarnessOptions): Harness {
  const agenda = createAgenda();
  const seed = options.seed ?? 1;
  const random = createRandom(seed);
  const mutation = options.mutation ?? {};
  const limits = { ...DEFAULT_LIMITS, ...options.limits, ...mutation.limits };
  const network = createNetwork(agenda);
  const { leaseMs, storeTimeoutMs: timeoutMs } = limits;
  const store = createTableStore({ agenda, leaseMs, timeoutMs });
  const nowMs = () => agenda.nowMs();
  const wallMs = () => wallAt(agenda.nowMs());
  const starts = createStartLog();
  const checker = createChecker({ log: starts, nowMs });
  const log: StartLog = {
    ...starts,
    note(task, server) {
      starts.note(task, server);
      note(`${server} starts task ${task.index} of ${shown(task.job)}`);
      checker.started(task.job, task.index);
    },
  };
  const entries = new Map<string, EntryProcess>();
  const sides = new Map<string, SideProcess>();
  const servers = new Map<string, Server>();
  const jobs = new Map<string, Job>();
  /** When jobs were made, in Unix milliseconds. */
  const madeAtMs = new Map<JobId, number>();
  const calls: Call[] = [];
  const trace: string[] = [];
  const runs = new Map<string, number>();
  const allHosts: Host[] = [];
  let hosts = 0;
  let isRecordingOver = false;

  function note(event: string): void {
    trace.push(`${agenda.nowMs().toFixed(0).padStart(6)} ms  ${event}`);
  }

  function newHost(name: string): Host {
    hosts += 1;
    const clockOffsetMs = hosts * CLOCK_STEP_MS;
    const isRecording = () => options.isRecorded === true && !isRecordingOver;
    const host = createHost({ name, agenda, clockOffsetMs, isRecording });
    allHosts.push(host);
    return host;
  }

  function nextRun(name: string): string {
    const run = (runs.get(name) ?? 0) + 1;
    runs.set(name, run);
    return `${name}.${run}`;
  }

  function startEntry(name: string): void {
    if (entries.has(name)) {
      // Its address is free once the earlier process has left.
      agenda.schedule(RESUBMIT_MS, () => startEntry(name));
      return;
    }
    const entry = createEntryProcess({
      host: newHost(name),
      network,
      store,
      limits,
      wallMs,
      random: createRandom(hosts + seed * MAX_HOSTS),
      nextIncarnation: () => nextRun(name),
      entryAt: (address) => entries.get(address),
      tableSeen: checker.tableSeen,
      createCore: mutation.createCore?.bind(mutation),
    });
    entries.set(name, entry);
  }

  function startSide(name: string): void {
    sides.set(
      name,
      createSideProcess({
        host: newHost(name),
        incarnation: nextRun(name),
        network,
        server: servers.get(name)!,
        slots: options.slots ?? 2,
        limits,
        entries: options.entries,
        entryAt: (address) => entries.get(address),
        createGuard: mutation.createGuard?.bind(mutation),
      }),
    );
  }

  function closeStreams(name: string): void {
    for (const other of [...entries.keys(), ...sides.keys()]) {
      if (other !== name) network.breakStreams(name, other);
    }
  }

  function killEntry(name: string): void {
    const entry = entries.get(name);
    if (entry === undefined) return;
    entries.delete(name);
    entry.host.kill();
    closeStreams(name);
    breakCalls(name);
  }

  /** Callers of an entry that is gone see their connections break. */
  function breakCalls(name: string): void {
    for (const call of calls) {
      if (call.entry !== name || call.reply !== undefined) continue;
      if (call.isBroken) continue;
      call.isBroken = true;
      if (!options.resubmits || call.kind !== "submit") continue;
      agenda.schedule(RESUBMIT_MS, () => resubmit(call));
    }
  }

  function resubmit(call: Call): void {
    const ready = [...entries.values()].filter((entry) =>
      entry.isReady() && !entry.host.isPaused()
    );
    if (ready.length === 0) {
      agenda.schedule(RESUBMIT_MS, () => resubmit(call));
      return;
    }
    const { host } = ready[Math.floor(random() * ready.length)]!;
    note(`the caller resubmits ${shown(call.id)} to ${host.name}`);
    ask(shown(call.id), host.name, "submit");
  }

  function ask(name: string, at: string, kind: Call["kind"]): void {
    const entry = entries.get(at);
    const id = jobId(jobs.get(name)!);
    if (entry === undefined) return;
    if (kind === "submit") dateJob(name, id);
    const job = jobs.get(name)!;
    const call: Call = {
      id,
      kind,
      entry: at,
      incarnation: entry.incarnation(),
      askedAtMs: agenda.nowMs(),
      reply: undefined,
      isBroken: false,
    };
    calls.push(call);
    if (kind === "submit") checker.submitted(id);
    entry.host.input({ kind, id }, () => {
      call.askedAtMs = agenda.nowMs();
      entry.request(
        id,
        kind === "submit" ? { kind, job, wait: true } : { kind },
        (reply) => replied(call, job, reply),
      );
    });
  }

  /** A job is born when it is submitted for the first time. */
  function dateJob(name: string, id: JobId): void {
    if (calls.some((call) => call.id === id && call.kind === "submit")) return;
    const job = jobs.get(name)!;
    const aheadMs = job.firstSubmittedAtMs! - madeAtMs.get(id)!;
    const dated = { ...job, firstSubmittedAtMs: wallMs() + aheadMs };
    for (const [known, other] of jobs) {
      if (other === job) jobs.set(known, dated);
    }
  }

  function replied(call: Call, job: Job, reply: Reply): void {
    call.reply = reply;
    const { id, askedAtMs } = call;
    note(
      `${call.entry} replies to ${call.kind} of ${shown(id)}: ${tell(reply)}`,
    );
    const isSubmit = call.kind === "submit";
    checker.replied({
      id,
      job: isSubmit ? job : undefined,
      reply,
      askedAtMs,
    });
  }

  function observeTables(): void {
    for (const entry of entries.values()) {
      checker.tableSeen(entry.incarnation(), entry.core().table().version);
    }
    for (const side of sides.values()) {
      checker.tableSeen(side.incarnation, side.guard.table().version);
    }
  }

  function advance(ms: number): void {
    agenda.advance(ms);
    observeTables();
  }

  function makeJob(name: string, job: JobOptions): Job {
    const table = store.table();
    for (let tried = 0; tried < MAX_KEYS_TRIED; tried++) {
      const key = tried === 0 ? name : `${name}~${tried}`;
      const owner = ownerOf(table, `tenant\n${key}`)?.name;
      if (job.owner !== undefined && owner !== job.owner) continue;
      const made: Job = {
        key,
        tenant: "tenant",
        class: "release",
        deadlineMs: job.deadlineMs ?? DEFAULT_DEADLINE_MS,
        firstSubmittedAtMs: wallMs() + (job.aheadMs ?? 0),
        tasks: Array.from({ length: job.tasks }, (_, index) => ({
          body: `${key} ${index}`,
          size: { cores: 1, memoryMb: 1, accelerators: 0 },
          declaredMs: 100,
          idempotent: false,
        })),
      };
      madeAtMs.set(jobId(made), wallMs());
      jobs.set(name, made);
      jobs.set(key, made);
      return made;
    }
    throw new Error(`no key is owned by ${job.owner}`);
  }

  function heal(): void {
    network.healAll();
    store.setOut(false);
    store.releaseWatches();
    for (const { host } of [...entries.values(), ...sides.values()]) {
      store.setReachable(host.name, true);
      if (host.isPaused()) host.resume();
    }
    servers.forEach((server) => server.setMode("up"));
  }

  for (const name of [...options.sides, ...options.spareSides ?? []]) {
    const runMs = options.runMs ?? DEFAULT_RUN_MS;
    const server = createServer(`server of ${name}`, { agenda, log, runMs });
    servers.set(name, server);
  }
  options.entries.forEach(startEntry);
  options.sides.forEach(startSide);
  advance(WARM_UP_MS);

  return {
    network,
    store,
    log,
    checker,
    nowMs,
    advance,
    entry: (name) => entries.get(name),
    side: (name) => sides.get(name),
    server: (side) => servers.get(side)!,
    entryNames: () => [...entries.keys()],
    sideNames: () => [...sides.keys()],
    startEntry,
    startSide,
    killEntry,
    killSide(name) {
      sides.get(name)?.host.kill();
      sides.delete(name);
      closeStreams(name);
    },
    drainEntry(name) {
      const entry = entries.get(name);
      entry?.drain(() => {
        if (entries.get(name) === entry) killEntry(name);
        note(`${name} has left`);
      });
    },
    drainSide(name) {
      const side = sides.get(name);
      side?.drain(() => {
        side.host.kill();
        if (sides.get(name) === side) sides.delete(name);
        note(`${name} has left`);
      });
    },
    makeJob,
    job: (name) => jobs.get(name)!,
    submit: (name, entry) => ask(name, entry, "submit"),
    cancel: (name, entry) => ask(name, entry, "cancel"),
    read: (name, entry) => ask(name, entry, "read"),
    calls: () => calls,
    callsOf: (name) =>
      calls.filter((call) => call.id === jobId(jobs.get(name)!)),
    heal,
    settle(ms) {
      heal();
      advance(ms);
      for (const call of calls) {
        const isOpen = call.reply === undefined && !call.isBroken;
        if (isOpen) checker.unended(call.id, `at ${call.entry}`);
      }
    },
    takeState() {
      isRecordingOver = true;
      return {
        nowMs: agenda.nowMs(),
        hosts: allHosts.map((host) => [
          host.name,
          host.isAlive(),
          host.isPaused(),
          host.history(),
        ]),
        network: network.state(),
        store: store.state(),
        servers: [...servers.values()].map((server) => server.state()),
      };
    },
    note,
    trace: () => trace,
    violations: () => checker.violations(),
  };
}

function shown(job: JobId): string {
  return job.split("\n")[1]!;
}

/** A reply in one line. */
export function tell(reply: Reply): string {
  if (reply.kind === "pending") return `pending, ${reply.done} of ${reply.of}`;
  if (reply.kind === "refused") {
    const { code, verdict } = reply.refusal;
    return `refused, ${code}, ${verdict}`;
  }
  const { state, verdict, late, outcomes } = reply.answer;
  const tasks = outcomes.map((one) => `${one.state} ${one.verdict}`);
  return `${late ? "late, " : ""}${state}, ${verdict} (${tasks.join(", ")})`;
}
