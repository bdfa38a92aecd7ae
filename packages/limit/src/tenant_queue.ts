/**
 * The queue of an entry. Tenants get slot time by weight, as in fair queueing
 * with a virtual time: a tenant that is ahead of its share by more than a
 * bounded lead waits. Among the tenants that are not, the job of lowest rank
 * goes first, so that small jobs pass big ones of any tenant. A task that
 * cannot be placed holds up only its own class, and only after a few tries.
 */
import type { JobId } from "@coltsfootreach/types";
import { type Backlog, createBacklog } from "./backlog.ts";
import { createHeap, type Heap } from "./heap.ts";
import type { Queue, Waiting } from "./queue.ts";

/**
 * Which job goes first:
 * - `arrival`: the job that came first.
 * - `deadline`: the job whose deadline passes first.
 * - `leastWork`: the job with the least work left, where older jobs count as
 *   smaller so that none starves.
 */
export type JobOrder = "arrival" | "deadline" | "leastWork";

export interface TenantQueueOptions {
  /** Share of a tenant relative to the others; 1 when not given. */
  readonly weightOf?: ((tenant: string) => number) | undefined;
  /** Expected slot time of a task in milliseconds. */
  readonly costOf?: ((task: Waiting) => number) | undefined;
  /** Slots that serve this queue, for the order `leastWork`. */
  readonly slots?: (() => number) | undefined;
  readonly order?: JobOrder | undefined;
  /** False when no side takes any task now, so that a drain can end. */
  readonly hasRoom?: ((nowMs: number) => boolean) | undefined;
  /** When a tenant's next task may start; not after `nowMs` means now. */
  readonly startableAtMs?:
    | ((tenant: string, nowMs: number) => number)
    | undefined;
}

/** A job that might come. */
export interface Prospect {
  readonly tenant: string;
  /** Expected slot time of all its tasks together. */
  readonly workMs: number;
  readonly deadlineMs: number;
}

/** What a job that came now would meet. */
export interface Outlook {
  /** Slot time of the tenant's own tasks that would go before it. */
  readonly aheadMs: number;
  /** Share of the slots that the tenant has while all that wait want theirs. */
  readonly share: number;
  /**
   * Slot time per millisecond that the tenant got lately, given what to expect
   * before it got any.
   */
  servedPerMs(expected: number): number;
}

/** A queue that also tells what admission needs to know. */
export interface TenantQueue extends Queue {
  outlook(prospect: Prospect, nowMs: number): Outlook;
}

/** Slot time by which a tenant of weight 1 may be ahead of its share. */
const MAX_LEAD_MS = 4_000;

/** Tenants of lower weight are served as if they had this one. */
const MIN_WEIGHT = 0.01;

/** Jobs of one class that are refused in a drain before the class waits. */
const MAX_REFUSALS = 8;

/** Jobs of one tenant and class that are refused before they wait. */
const MAX_LINE_REFUSALS = 2;

/** Tenants ahead of their share that a drain lets compete for the rest. */
const MAX_ADMITTED = 8;

/** How much later a job ranks per millisecond of its share of the slots. */
const WORK_FACTOR = 50;

/** Most of its time to the deadline by which a job may rank later. */
const MAX_SETBACK_SHARE = 0.5;

/** The slots that are assumed when none are told. */
const DEFAULT_SLOTS = 80;

/** Ended jobs that may linger in the deadline heap before it is rebuilt. */
const MAX_LINGERING = 1_024;

type Place = (task: Waiting) => boolean;

/** A task and the slot time that it is counted with. */
interface Queued {
  readonly task: Waiting;
  readonly costMs: number;
}

/** The tasks of one job that wait, shortest first. */
interface Group {
  readonly job: JobId;
  readonly tenant: string;
  readonly class: string;
  readonly deadlineAtMs: number;
  readonly sequence: number;
  readonly pushedAtMs: number;
  readonly tasks: Queued[];
  /** Work of the tasks that wait. */
  workMs: number;
  /** The rank under which its work is counted in the backlog. */
  countedRank: number;
  /** Set when a task was put back: the job goes before the others. */
  first: boolean;
  removed: boolean;
}

/** The jobs of one tenant and class. */
interface Line {
  readonly account: Account;
  readonly groups: Heap<Group>;
  /** The entry of the class heap that stands for this line; older ones lapse. */
  entry: number;
  refusals: number;
}

interface Entry {
  readonly line: Line;
  readonly number: number;
}

interface ClassLines {
  /** Lines of tenants that are not ahead, by the rank of their first job. */
  readonly lines: Heap<Entry>;
  refusals: number;
}

interface Account {
  readonly tenant: string;
  readonly lines: Map<string, Line>;
  size: number;
  /** The weight with which it counts while it has work. */
  weight: number;
  /** Slot time taken over weight, on the scale of the virtual time. */
  servedMs: number;
  parked: boolean;
  readonly backlog: Backlog;
}

interface Offer {
  readonly line: Line;
  readonly group: Group;
  readonly classLines: ClassLines;
}

export function createTenantQueue(
  options: TenantQueueOptions = {},
): TenantQueue {
  const costOf = options.costOf ?? ((task: Waiting) => task.declaredMs);
  const slots = options.slots ?? (() => DEFAULT_SLOTS);
  const order = options.order ?? "leastWork";
  const accounts = new Map<string, Account>();
  const groups = new Map<JobId, Group>();
  const classes = new Map<string, ClassLines>();
  /** Tenants ahead of their share, by the slot time that they have had. */
  const parked = createHeap<Account>();
  /** Tenants whose quota is used up, by the time at which they may go on. */
  const overQuota = createHeap<Account>();
  const aside: Group[] = [];
  const refusedLines: Line[] = [];
  const admitted: Account[] = [];
  let byDeadline = createHeap<Group>();
  let virtualMs = 0;
  let activeWeight = 0;
  let total = 0;
  let sequence = 0;
  let entries = 0;
  let latestMs = 0;

  function weightOf(tenant: string): number {
    return Math.max(MIN_WEIGHT, options.weightOf?.(tenant) ?? 1);
  }

  /** Counts a tenant's weight, or its new one, among those that have work. */
  function countWeight(account: Account, weight: number): void {
    activeWeight = Math.max(0, activeWeight + weight - account.weight);
    account.weight = weight;
  }

  /** How much later than it came a job ranks. */
  function setbackMs(workMs: number, deadlineMs: number): number {
    const shareMs = workMs / Math.max(1, slots());
    return Math.min(MAX_SETBACK_SHARE * deadlineMs, WORK_FACTOR * shareMs);
  }

  function plainRankOf(group: Group): number {
    if (order === "arrival") return group.sequence;
    if (order === "deadline") return group.deadlineAtMs;
    const deadlineMs = group.deadlineAtMs - group.pushedAtMs;
    return group.pushedAtMs + setbackMs(group.workMs, deadlineMs);
  }

  /** The rank that a job would have if it came now. */
  function rankOfProspect(
    { workMs, deadlineMs }: Prospect,
    nowMs: number,
  ): number {
    if (order === "arrival") return sequence;
    if (order === "deadline") return nowMs + deadlineMs;
    return nowMs + setbackMs(workMs, deadlineMs);
  }

  function rankOf(group: Group): number {
    return group.first ? -1 : plainRankOf(group);
  }

  function accountOf(tenant: string): Account {
    let account = accounts.get(tenant);
    if (account === undefined) {
      account = {
        tenant,
        lines: new Map(),
        size: 0,
        weight: 0,
        servedMs: 0,
        parked: false,
        backlog: createBacklog(),
      };
      accounts.set(tenant, account);
    }
    return account;
  }

  function classLinesOf(className: string): ClassLines {
    let found = classes.get(className);
    if (found === undefined) {
      found = { lines: createHeap(), refusals: 0 };
      classes.set(className, found);
    }
    return found;
  }

  function lineOf(account: Account, className: string): Line {
    let line = account.lines.get(className);
    if (line === undefined) {
      line = { account, groups: createHeap(), entry: 0, refusals: 0 };
      account.lines.set(className, line);
    }
    return line;
  }

  /** Drops ended jobs from the front of a line. */
  function headOf(line: Line): Group | undefined {
    while (line.groups.peek()?.removed) line.groups.pop();
    return line.groups.peek();
  }

  /** Enters a line into its class under the rank of its first job. */
  function enter(line: Line): void {
    const head = headOf(line);
    if (head === undefined || line.account.parked) return;
    line.entry = ++entries;
    classLinesOf(head.class).lines.push(rankOf(head), {
      line,
      number: line.entry,
    });
  }

  function addGroup(group: Group): void {
    const line = lineOf(accountOf(group.tenant), group.class);
    line.groups.push(rankOf(group), group);
    if (headOf(line) === group) enter(line);
  }

  function openGroup(task: Waiting): Group {
    const group: Group = {
      job: task.job,
      tenant: task.tenant,
      class: task.class,
      deadlineAtMs: task.deadlineAtMs,
      sequence: sequence++,
      pushedAtMs: latestMs,
      tasks: [],
      workMs: 0,
      countedRank: 0,
      first: false,
      removed: false,
    };
    groups.set(task.job, group);
    byDeadline.push(group.deadlineAtMs, group);
    return group;
  }

  function closeGroup(group: Group): void {
    group.removed = true;
    groups.delete(group.job);
    if (byDeadline.size() <= 2 * groups.size + MAX_LINGERING) return;
    byDeadline = createHeap();
    for (const kept of groups.values()) {
      byDeadline.push(kept.deadlineAtMs, kept);
    }
  }

  function grow(account: Account, count: number): void {
    if (account.size === 0) {
      countWeight(account, weightOf(account.tenant));
      account.servedMs = Math.max(account.servedMs, virtualMs);
      account.backlog.open(latestMs);
    }
    account.size += count;
    total += count;
  }

  function shrink(account: Account, count: number): void {
    account.size -= count;
    total -= count;
    if (account.size > 0) return;
    countWeight(account, 0);
    if (account.servedMs <= virtualMs) accounts.delete(account.tenant);
  }

  function add(group: Group, tasks: readonly Waiting[]): void {
    let workMs = 0;
    for (const task of tasks) {
      const costMs = costOf(task);
      group.tasks.push({ task, costMs });
      workMs += costMs;
    }
    const account = accountOf(group.tenant);
    grow(account, tasks.length);
    const isNew = group.workMs === 0;
    group.workMs += workMs;
    if (isNew) group.countedRank = plainRankOf(group);
    account.backlog.add(group.countedRank, workMs);
  }

  function charge(account: Account, costMs: number): void {
    if (account.size > 0) countWeight(account, weightOf(account.tenant));
    account.servedMs += costMs / weightOf(account.tenant);
    virtualMs += costMs / Math.max(MIN_WEIGHT, activeWeight);
    parkIfAhead(account);
  }

  /** Parks a tenant whose lead has grown too long. */
  function parkIfAhead(account: Account): void {
    if (account.parked || account.servedMs <= virtualMs + MAX_LEAD_MS) return;
    park(account, parked, account.servedMs);
  }

  function park(account: Account, heap: Heap<Account>, rank: number): void {
    account.parked = true;
    for (const line of account.lines.values()) line.entry = 0;
    heap.push(rank, account);
  }

  function unpark(account: Account): void {
    account.parked = false;
    for (const line of account.lines.values()) enter(line);
  }

  function unparkDue(): void {
    while (overQuota.lowestRank() <= latestMs) unpark(overQuota.pop()!);
    while (parked.lowestRank() <= virtualMs + MAX_LEAD_MS) {
      unpark(parked.pop()!);
    }
  }

  /** Whether the quota lets a tenant go on; parks it if not. */
  function isInQuota(account: Account): boolean {
    const atMs = options.startableAtMs?.(account.tenant, latestMs) ?? 0;
    if (atMs <= latestMs) return true;
    park(account, overQuota, atMs);
    return false;
  }

  /**
   * Lets the tenant that is least ahead compete for what the others leave. It
   * is parked again with the first task that it gets.
   */
  function admitParked(): boolean {
    if (parked.size() === 0 || admitted.length >= MAX_ADMITTED) return false;
    const account = parked.pop()!;
    admitted.push(account);
    unpark(account);
    return true;
  }

  function parkAdmitted(): void {
    for (const account of admitted) parkIfAhead(account);
    admitted.length = 0;
  }

  function dropLapsed(lines: Heap<Entry>): void {
    let top = lines.peek();
    while (top !== undefined && top.line.entry !== top.number) {
      lines.pop();
      top = lines.peek();
    }
  }

  /** The class whose first job has the lowest rank, of those not refused. */
  function nextClass(): ClassLines | undefined {
    let best: ClassLines | undefined;
    for (const one of classes.values()) {
      if (one.refusals >= MAX_REFUSALS) continue;
      dropLapsed(one.lines);
      if (one.lines.size() === 0) continue;
      const lowest = best?.lines.lowestRank() ?? Infinity;
      if (one.lines.lowestRank() < lowest) best = one;
    }
    return best;
  }

  function nextOffer(): Offer | undefined {
    let classLines = nextClass();
    while (classLines !== undefined) {
      const rank = classLines.lines.lowestRank();
      const { line } = classLines.lines.pop()!;
      const group = headOf(line);
      const isDue = group !== undefined && rankOf(group) <= rank;
      if (isDue && isInQuota(line.account)) return { line, group, classLines };
      enter(line);
      classLines = nextClass();
    }
    return undefined;
  }

  function take(group: Group, { costMs }: Queued): void {
    const account = accountOf(group.tenant);
    group.workMs = Math.max(0, group.workMs - costMs);
    account.backlog.take(group.countedRank, costMs, true);
    group.first = false;
    if (group.tasks.length === 0) closeGroup(group);
    charge(account, costMs);
    shrink(account, 1);
    parkAdmitted();
  }

  /** Offers the longest task of a job and, if that is refused, the shortest. */
  function offerGroup(group: Group, place: Place): boolean {
    const longest = group.tasks.at(-1)!;
    if (place(longest.task)) {
      group.tasks.pop();
      take(group, longest);
      return true;
    }
    const shortest = group.tasks[0]!;
    if (shortest === longest || !place(shortest.task)) return false;
    group.tasks.shift();
    take(group, shortest);
    return true;
  }

  function makeOffer({ line, group, classLines }: Offer, place: Place): void {
    if (!offerGroup(group, place)) {
      classLines.refusals++;
      if (line.refusals++ === 0) refusedLines.push(line);
      line.groups.pop();
      aside.push(group);
    }
    if (line.refusals < MAX_LINE_REFUSALS) enter(line);
  }

  /** Whether a drain may go on after its latest offer. */
  function mayGoOn(): boolean {
    if (aside.length === 0) return true;
    return options.hasRoom?.(latestMs) ?? true;
  }

  function restore(): void {
    for (const group of aside) {
      if (group.removed) continue;
      const line = lineOf(accountOf(group.tenant), group.class);
      line.groups.push(rankOf(group), group);
    }
    for (const line of refusedLines) {
      line.refusals = 0;
      enter(line);
    }
    aside.length = 0;
    refusedLines.length = 0;
    parkAdmitted();
    for (const [name, one] of classes) {
      one.refusals = 0;
      if (one.lines.size() === 0) classes.delete(name);
    }
  }

  function removeJob(job: JobId): readonly Waiting[] {
    const group = groups.get(job);
    if (group === undefined) return [];
    closeGroup(group);
    const account = accountOf(group.tenant);
    account.backlog.take(group.countedRank, group.workMs, false);
    shrink(account, group.tasks.length);
    return group.tasks.map(({ task }) => task);
  }

  return {
    push(tasks) {
      const first = tasks[0];
      if (first === undefined) return;
      const known = groups.get(first.job);
      const group = known ?? openGroup(first);
      const shortestFirst = [...tasks]
        .sort((a, b) => a.declaredMs - b.declaredMs || b.index - a.index);
      add(group, shortestFirst);
      if (known === undefined) addGroup(group);
    },

    putBack(task) {
      const known = groups.get(task.job);
      const group = known ?? openGroup(task);
      group.first = true;
      add(group, [task]);
      charge(accountOf(task.tenant), -costOf(task));
      addGroup(group);
    },

    drain(place, nowMs) {
      latestMs = Math.max(latestMs, nowMs);
      unparkDue();
      let offer = nextOffer();
      while (offer !== undefined || admitParked()) {
        if (offer !== undefined) makeOffer(offer, place);
        if (!mayGoOn()) break;
        offer = nextOffer();
      }
      restore();
    },

    removeJob,

    outlook(prospect, nowMs) {
      const { tenant } = prospect;
      latestMs = Math.max(latestMs, nowMs);
      const account = accounts.get(tenant);
      const own = weightOf(tenant);
      const rank = rankOfProspect(prospect, nowMs);
      return {
        aheadMs: account?.backlog.upTo(rank) ?? 0,
        share: own / (activeWeight - (account?.weight ?? 0) + own),
        servedPerMs: (expected) => {
          if (account === undefined || account.size === 0) return expected;
          return account.backlog.servedPerMs(expected, nowMs);
        },
      };
    },

    removeExpired(nowMs) {
      const expired: Waiting[] = [];
      while (byDeadline.lowestRank() <= nowMs) {
        const group = byDeadline.pop()!;
        if (!group.removed) expired.push(...removeJob(group.job));
      }
      return expired;
    },

    size(tenant) {
      return tenant === undefined ? total : accounts.get(tenant)?.size ?? 0;
    },
  };
}
