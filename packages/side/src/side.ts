/**
 * A side process: hears the backend server on its VM, keeps a link to each
 * entry, and runs the starts that its guard lets through.
 */
import { v4 } from "uuid";
import { createConfigurationHolder } from "@coltsfootreach/configure";
import { createGuard, type GuardEffect } from "@coltsfootreach/guard";
import { parseConfiguration } from "@coltsfootreach/inventory";
import type { Log } from "@coltsfootreach/log";
import type { LinkTarget } from "@coltsfootreach/link";
import type {
  Announcement,
  Configuration,
  EntryFrame,
  SideFrame,
  SideMessage,
  Start,
} from "@coltsfootreach/types";
import { hearAnnouncements } from "./announcements.ts";
import { type EntryLink, openEntryLink } from "./entry_link.ts";
import { createRunner, type Runner } from "./runner.ts";

/** How often old evidence is dropped and waiting starts are looked at. */
const TICK_MS = 250;

/** Smallest step of the stamp on frames. */
const STAMP_STEP_MS = 0.001;

export interface SideOptions {
  readonly name: string;
  readonly dataCentre: string;
  readonly rack: string;
  readonly worker: string;
  readonly announcement: { readonly host: string; readonly port: number };
  /** Link addresses of entries to ask first. */
  readonly entries: readonly string[];
  readonly queuePerSlot: number;
  readonly freshnessMs: number;
  readonly heartbeatMs: number;
  readonly silentMs: number;
  readonly drainMs: number;
  /** How long evidence of starts is kept. */
  readonly keepEvidenceMs: number;
  readonly keepResultsMs: number;
  readonly maxJobs: number;
  readonly credentials?: LinkTarget["credentials"];
  readonly log: Log;
}

export interface Side {
  readonly incarnation: string;
  /** Where the backend server announces itself. */
  readonly announcementPort: number;
  /** Takes no new work, ends what it has, and leaves. */
  stop(): Promise<void>;
}

export async function startSide(options: SideOptions): Promise<Side> {
  const incarnation = v4();
  const log = options.log.with({ incarnation });
  const { name: side, dataCentre, rack, worker } = options;
  const guard = createGuard({
    identity: { side, incarnation, dataCentre, rack, worker },
    freshnessMs: options.freshnessMs,
    queuePerSlot: options.queuePerSlot,
    keepEvidenceMs: options.keepEvidenceMs,
    keepResultsMs: options.keepResultsMs,
    maxJobs: options.maxJobs,
  });
  const links = new Map<string, EntryLink>();
  const holder = createConfigurationHolder({
    parse: (configuration) => parseConfiguration(configuration),
  });
  let runner: Runner | undefined;
  /** Name of the backend server on this VM, while it is announced. */
  let server: string | undefined;
  let lastStampMs = 0;
  let flushing = false;

  function stamp(): number {
    lastStampMs = Math.max(performance.now(), lastStampMs + STAMP_STEP_MS);
    return lastStampMs;
  }

  function header(
    entry: string | undefined,
  ): Omit<SideFrame, "messages" | "sequence"> {
    return {
      side,
      incarnation,
      to: entry,
      stampMs: stamp(),
      tableVersion: guard.table().version,
      configurationVersion: holder.version(),
      load: guard.load(),
      held: entry === undefined ? 0 : guard.heldFor(entry),
    };
  }

  function connect(address: string): void {
    if (links.has(address)) return;
    const link = openEntryLink({
      target: { address, credentials: options.credentials },
      heartbeatMs: options.heartbeatMs,
      silentMs: options.silentMs,
      hello: () => guard.hello(),
      header,
      received,
    });
    links.set(address, link);
  }

  /** Keeps links to the members, and to the first entries until one answers. */
  function followMembers(): void {
    const { members } = guard.table();
    const wanted = new Set(members.map((member) => member.address));
    if (wanted.size === 0) return;
    wanted.forEach(connect);
    for (const [address, link] of links) {
      if (wanted.has(address)) continue;
      link.close();
      links.delete(address);
    }
  }

  function received(frame: EntryFrame): void {
    for (const message of frame.messages) {
      if (message.kind === "configuration") configure(message.configuration);
    }
    apply(guard.receive(frame, stamp()));
  }

  function configure(configuration: Configuration): void {
    const nowMs = performance.now();
    const taken = holder.take({ configuration, source: "entry", nowMs });
    if (taken !== "newer") return;
    const { version } = configuration;
    log.info("configuration", { configurationVersion: version });
    followRules();
  }

  /** Operators may have taken the backend server out of service. */
  function followRules(): void {
    const drained = holder.inForce()?.estate.rules.drained ?? [];
    const isDrained = server !== undefined && drained.includes(server);
    apply(guard.setDrained(isDrained));
  }

  function apply(effects: readonly GuardEffect[]): void {
    for (const effect of effects) {
      if (effect.kind === "run") run(effect.start);
      else if (effect.kind === "stop") runner?.stop(effect.name);
      else if (effect.kind === "tableAdopted") followMembers();
      else if (effect.kind === "sayHello") sayHello();
      else send(effect.entry, effect.message);
    }
    scheduleFlush();
  }

  function sayHello(): void {
    for (const link of links.values()) link.sayHello();
  }

  function send(entry: string, message: SideMessage): void {
    for (const link of links.values()) {
      if (link.entry() === entry) link.push(message);
    }
  }

  /** Collects the messages of one turn of the event loop into one frame. */
  function scheduleFlush(): void {
    if (flushing) return;
    flushing = true;
    setImmediate(() => {
      flushing = false;
      for (const link of links.values()) link.flush();
    });
  }

  async function run(start: Start): Promise<void> {
    const own = runner;
    const outcome = own === undefined
      ? { index: start.index, state: "failed", verdict: "notRun" } as const
      : await own.run(start);
    apply(guard.ended(start.job, outcome, stamp()));
  }

  function announced(announcement: Announcement | undefined): void {
    log.info("backend server changed", { server: announcement?.server });
    runner?.close();
    runner = announcement === undefined
      ? undefined
      : createRunner(announcement);
    server = announcement?.server;
    apply(guard.announce(announcement, stamp()));
    followRules();
  }

  function isDone(): boolean {
    const { running, queued } = guard.load();
    if (running + queued > 0) return false;
    return [...links.values()].every((link) => link.isSettled());
  }

  async function drain(): Promise<void> {
    log.info("draining");
    apply(guard.drain());
    const untilMs = performance.now() + options.drainMs;
    while (!isDone() && performance.now() < untilMs) {
      await new Promise((wake) => setTimeout(wake, TICK_MS / 10));
    }
    for (const link of links.values()) link.push({ kind: "goodbye" });
    for (const link of links.values()) link.flush();
    await new Promise((wake) => setTimeout(wake, TICK_MS));
  }

  const announcements = await hearAnnouncements({
    ...options.announcement,
    changed: announced,
  });
  const timer = setInterval(() => apply(guard.tick(stamp())), TICK_MS);
  options.entries.forEach(connect);
  log.info("side started", { address: `port ${announcements.port}` });

  return {
    incarnation,
    announcementPort: announcements.port,
    async stop() {
      await drain();
      clearInterval(timer);
      announcements.close();
      runner?.close();
      for (const link of links.values()) link.close();
      log.info("side stopped");
    },
  };
}
