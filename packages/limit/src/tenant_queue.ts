/**
 * The queue of an entry: deficit round robin between tenants, and within a
 * tenant one line per class whose jobs stand in a configurable order. A task
 * that cannot be placed holds up only the jobs behind it in its own line, and
 * of those only the ones past a short look-ahead.
 */
import type { JobId } from "@coltsfootreach/types";
import { createHeap, type Heap } from "./heap.ts";
import type { Queue, Waiting } from "./queue.ts";

/**
 * Which job of a line goes first:
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
}

/** Slot time that a tenant of weight 1 gains per round, in milliseconds. */
const QUANTUM_MS = 100;

/** Tenants of lower weight are served as if they had this one. */
const MIN_WEIGHT = 0.01;

/** Jobs of one line that may be refused before the line waits. */
const LOOK_AHEAD = 3;

/** Blocked tenants after which a drain ends; the next one goes on there. */
const MAX_BLOCKED = 32;

/** How much later a job ranks per millisecond of its share of the slots. */
const WORK_FACTOR = 4;

/** The slots that are assumed when none are told. */
const DEFAULT_SLOTS = 80;

/** The tasks of one job that wait. */
interface Group {
  readonly job: JobId;
  readonly tenant: string;
  readonly class: string;
  readonly deadlineAtMs: number;
  readonly sequence: number;
  readonly pushedAtMs: number;
  /** Longest first, so the last element is the next one backwards. */
  readonly tasks: Waiting[];
  workMs: number;
  removed: boolean;
}

interface Line {
  readonly class: string;
  readonly groups: Heap<Group>;
  /** Groups that were refused in the drain under way. */
  readonly aside: Group[];
}

interface Account {
  readonly tenant: string;
  readonly lines: Map<string, Line>;
  deficitMs: number;
  size: number;
  /** The last drain in which a task of the tenant was refused. */
  refusedInDrain: number;
  /** The last drain in which every line of the tenant was refused. */
  blockedInDrain: number;
}

type Place = (task: Waiting) => boolean;

export function createTenantQueue(options: TenantQueueOptions = {}): Queue {
  const weightOf = options.weightOf ?? (() => 1);
  const costOf = options.costOf ?? ((task: Waiting) => task.declaredMs);
  const slots = options.slots ?? (() => DEFAULT_SLOTS);
  const order = options.order ?? "arrival";
  const accounts = new Map<string, Account>();
  const groups = new Map<JobId, Group>();
  const byDeadline = createHeap<Group>();
  const ring: Account[] = [];
  const refusedAccounts: Account[] = [];
  let turn = 0;
  let cursor = 0;
  let total = 0;
  let sequence = 0;
  let drains = 0;
  let latestMs = 0;

  function rankOf(group: Group): number {
    if (order === "arrival") return group.sequence;
    if (order === "deadline") return group.deadlineAtMs;
    const shareMs = group.workMs / Math.max(1, slots());
    return group.pushedAtMs + WORK_FACTOR * shareMs;
  }

  function accountOf(tenant: string): Account {
    let account = accounts.get(tenant);
    if (account === undefined) {
      account = {
        tenant,
        lines: new Map(),
        deficitMs: 0,
        size: 0,
        refusedInDrain: 0,
        blockedInDrain: 0,
      };
      accounts.set(tenant, account);
      ring.push(account);
    }
    return account;
  }

  function lineOf(account: Account, className: string): Line {
    let line = account.lines.get(className);
    if (line === undefined) {
      line = { class: className, groups: createHeap(), aside: [] };
      account.lines.set(className, line);
    }
    return line;
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
      removed: false,
    };
    groups.set(task.job, group);
    byDeadline.push(group.deadlineAtMs, group);
    return group;
  }

  function closeGroup(group: Group): void {
    group.removed = true;
    groups.delete(group.job);
  }

  function add(group: Group, tasks: readonly Waiting[]): void {
    for (const task of tasks) {
      group.tasks.push(task);
      group.workMs += costOf(task);
    }
    const account = accountOf(group.tenant);
    account.size += tasks.length;
    total += tasks.length;
  }

  /** Drops groups that have ended from the head of a line. */
  function headOf(line: Line): Group | undefined {
    let head = line.groups.peek();
    while (head?.removed) {
      line.groups.pop();
      head = line.groups.peek();
    }
    return head;
  }

  /** The line whose head goes first, of those that may still be offered. */
  function nextLine(account: Account): Line | undefined {
    let best: Line | undefined;
    let lowest = Infinity;
    for (const line of account.lines.values()) {
      if (line.aside.length >= LOOK_AHEAD) continue;
      if (headOf(line) === undefined) continue;
      const rank = line.groups.lowestRank();
      if (rank < lowest) {
        lowest = rank;
        best = line;
      }
    }
    return best;
  }

  function take(account: Account, group: Group): void {
    const task = group.tasks.pop()!;
    const cost = costOf(task);
    group.workMs = Math.max(0, group.workMs - cost);
    account.deficitMs -= cost;
    account.size--;
    total--;
    if (group.tasks.length === 0) closeGroup(group);
  }

  function setAside(account: Account, line: Line): void {
    line.aside.push(line.groups.pop()!);
    if (account.refusedInDrain === drains) return;
    account.refusedInDrain = drains;
    refusedAccounts.push(account);
  }

  /** Offers tasks of one tenant until one is placed or all its lines wait. */
  function offerLine(account: Account, place: Place): "placed" | "blocked" {
    let line = nextLine(account);
    while (line !== undefined) {
      const group = line.groups.peek()!;
      if (place(group.tasks.at(-1)!)) {
        take(account, group);
        return "placed";
      }
      setAside(account, line);
      line = nextLine(account);
    }
    account.blockedInDrain = drains;
    return "blocked";
  }

  function restore(account: Account): void {
    for (const line of account.lines.values()) {
      for (const group of line.aside) {
        line.groups.push(rankOf(group), group);
      }
      line.aside.length = 0;
      if (line.groups.size() === 0) account.lines.delete(line.class);
    }
  }

  function leaveRing(at: number): void {
    const gone = ring[at]!;
    ring.splice(at, 1);
    accounts.delete(gone.tenant);
    if (turn > at) turn--;
    if (turn >= ring.length) turn = 0;
    if (cursor > at) cursor--;
    if (cursor >= ring.length) cursor = 0;
  }

  function passTurn(): void {
    turn = (turn + 1) % ring.length;
    const next = ring[turn]!;
    const weight = Math.max(MIN_WEIGHT, weightOf(next.tenant));
    const quantum = QUANTUM_MS * weight;
    next.deficitMs = Math.min(next.deficitMs + quantum, 2 * quantum);
  }

  /** Serves tenants in turn until the one whose turn it is gets refused. */
  function drainInTurn(place: Place): void {
    while (ring.length > 0) {
      const account = ring[turn]!;
      if (account.size === 0) {
        leaveRing(turn);
      } else if (account.deficitMs <= 0) {
        passTurn();
      } else if (offerLine(account, place) === "blocked") {
        return;
      }
    }
  }

  /**
   * Lets the other tenants use what the one in turn cannot, a task each. What
   * they take counts against their later turns.
   */
  function drainRest(place: Place): void {
    let blocked = 0;
    let refused = 0;
    let placed = false;
    while (blocked < ring.length && refused < MAX_BLOCKED) {
      cursor = (cursor + 1) % ring.length;
      const account = ring[cursor]!;
      if (account.size === 0) {
        leaveRing(cursor);
      } else if (account.blockedInDrain === drains) {
        blocked++;
      } else if (offerLine(account, place) === "blocked") {
        blocked++;
        refused++;
      } else {
        blocked = 0;
        placed = true;
      }
    }
    if (placed && ring.length > 0) passTurn();
  }

  function removeJob(job: JobId): readonly Waiting[] {
    const group = groups.get(job);
    if (group === undefined) return [];
    closeGroup(group);
    const account = accountOf(group.tenant);
    account.size -= group.tasks.length;
    total -= group.tasks.length;
    return group.tasks;
  }

  return {
    push(tasks) {
      const first = tasks[0];
      if (first === undefined) return;
      const group = groups.get(first.job) ?? openGroup(first);
      const isNew = group.tasks.length === 0;
      const shortestFirst = [...tasks]
        .sort((a, b) => a.declaredMs - b.declaredMs || b.index - a.index);
      add(group, shortestFirst);
      if (!isNew) return;
      lineOf(accountOf(group.tenant), group.class)
        .groups.push(rankOf(group), group);
    },

    putBack(task) {
      const known = groups.get(task.job);
      const group = known ?? openGroup(task);
      add(group, [task]);
      if (known !== undefined) return;
      lineOf(accountOf(task.tenant), task.class).groups.push(-1, group);
    },

    drain(place, nowMs) {
      latestMs = Math.max(latestMs, nowMs);
      drains++;
      drainInTurn(place);
      if (ring.length > 0) drainRest(place);
      for (const account of refusedAccounts) restore(account);
      refusedAccounts.length = 0;
    },

    removeJob,

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
