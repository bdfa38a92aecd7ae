/** What operators can ask of this entry, put together from its core. */
import type { JobRecord } from "@coltsfootreach/admit";
import type { EntryCore, SideState } from "@coltsfootreach/coordinate";
import type { ConfigurationHolder } from "@coltsfootreach/configure";
import type {
  ActionJournal,
  EntryStatus,
  EntryView,
  JobExplanation,
  ServerTopRow,
  StoreStatus,
  TaskExplanation,
  TenantTopRow,
} from "@coltsfootreach/manage";
import { jobId, type TaskState } from "@coltsfootreach/types";

export interface ViewOptions {
  readonly name: string;
  incarnation(): string;
  core(): EntryCore;
  readonly holder: ConfigurationHolder;
  readonly journal: ActionJournal;
  store(): StoreStatus;
  /** Newest version that any process was heard to have. */
  newestVersion(): { readonly version: number; readonly sinceMs: number };
  tenants(): readonly TenantTopRow[];
}

export function createEntryView(options: ViewOptions): EntryView {
  const { holder, journal } = options;
  /** Turns a time of this process's clock into Unix milliseconds. */
  const wallOf = (ms: number) => Date.now() - performance.now() + ms;

  function status(): EntryStatus {
    const core = options.core();
    const inForce = holder.inForce();
    const sides = [...core.sides.all()];
    const newest = options.newestVersion();
    return {
      entry: options.name,
      incarnation: options.incarnation(),
      nowMs: Date.now(),
      configuration: {
        version: holder.version(),
        sinceMs: inForce === undefined ? undefined : wallOf(inForce.sinceMs),
        source: inForce?.source,
        rejected: holder.rejected(),
      },
      newest: { ...newest, sinceMs: wallOf(newest.sinceMs) },
      processes: [
        {
          process: options.name,
          role: "entry",
          version: holder.version(),
          heardAtMs: Date.now(),
        },
        ...sides.map((side) => ({
          process: side.identity.side,
          role: "side" as const,
          version: side.configurationVersion,
          heardAtMs: wallOf(side.lastHeardMs),
          behindSinceMs: behindSince(core, side),
        })),
      ],
      table: core.table(),
      store: options.store(),
      expectedServers: inForce?.estate.servers.map(({ name }) => name) ?? [],
      presentServers: sides.flatMap((side) => side.announcement?.server ?? []),
    };
  }

  function behindSince(core: EntryCore, side: SideState): number | undefined {
    const since = core.configuration.behindSince(side.configurationVersion);
    return since === undefined ? undefined : wallOf(since);
  }

  function job(tenant: string, key: string): JobExplanation | undefined {
    const core = options.core();
    const record = core.records.find(jobId({ tenant, key }));
    if (record === undefined) return undefined;
    const nowMs = performance.now();
    return {
      tenant,
      key,
      class: record.job?.class ?? "",
      state: stateOf(record),
      entry: options.name,
      tableVersion: core.table().version,
      configurationVersion: holder.version(),
      ageMs: nowMs - record.madeAtMs,
      leftMs: record.deadlineAtMs - nowMs,
      why: whyOf(record),
      tasks: record.tasks.map((task, index) => explainTask(core, task, index)),
      answer: record.answer,
    };
  }

  function serverOf(side: SideState, nowMs: number): ServerTopRow {
    const core = options.core();
    const server = side.announcement?.server ?? "";
    return {
      server,
      side: side.identity.side,
      worker: side.identity.worker,
      dataCentre: side.identity.dataCentre,
      state: serverState(core, side, nowMs),
      slots: side.announcement?.slots ?? 0,
      running: side.load.running,
      queued: side.load.queued,
      failureRatio: core.health.failureRatio(server),
    };
  }

  return {
    status,
    job,
    acts: () => journal.list(),
    act: (id) => journal.find(id),
    top() {
      const nowMs = performance.now();
      const sides = [...options.core().sides.all()];
      return {
        entry: options.name,
        nowMs: Date.now(),
        tenants: options.tenants(),
        servers: sides.map((side) => serverOf(side, nowMs)),
      };
    },
  };
}

function serverState(
  core: EntryCore,
  side: SideState,
  nowMs: number,
): ServerTopRow["state"] {
  if (side.lost) return "lost";
  if (side.draining) return "draining";
  if (core.configuration.isLagging(side, nowMs)) return "lagging";
  const server = side.announcement?.server ?? "";
  return core.health.ejectionState(server, nowMs) === "in" ? "in" : "ejected";
}

function stateOf(record: JobRecord): JobExplanation["state"] {
  if (record.answer !== undefined) return "ended";
  const isRunning = record.tasks.some((task) => task.kind === "sent");
  return isRunning ? "running" : "waiting";
}

function whyOf(record: JobRecord): string {
  const { answer, tasks, open } = record;
  if (answer !== undefined) {
    return `ended ${answer.state}${answer.late ? " and late" : ""}`;
  }
  if (record.job === undefined) {
    return "known from the sides' evidence alone; waits to be resubmitted";
  }
  const sent = tasks.filter((task) => task.kind === "sent").length;
  return `${tasks.length - open} of ${tasks.length} tasks have ended, ` +
    `${sent} are with sides, ${open - sent} wait for a slot`;
}

function explainTask(
  core: EntryCore,
  task: TaskState,
  index: number,
): TaskExplanation {
  if (task.kind === "waiting") {
    const why = "waits for a side with a free slot";
    return { index, state: "waiting", attempts: 0, why };
  }
  if (task.kind === "sent") {
    const side = core.sides.find(task.side);
    const name = side?.identity.side ?? task.side;
    const why = side === undefined || side.lost
      ? "was sent to a side that is silent; its fate is unknown"
      : "was sent to a side and has not ended";
    return { index, state: "sent", attempts: 1, side: name, why };
  }
  const { outcome } = task;
  const why = outcome.reason ?? "the backend server answered";
  return { index, state: "ended", attempts: 1, why, outcome };
}
