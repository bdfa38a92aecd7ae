import { expect } from "chai";
import { createTenantQueue, type QueuedTask } from "./index.ts";

interface JobOptions {
  readonly tenant?: string;
  readonly class?: string;
  readonly deadlineAtMs?: number;
  readonly declaredMs?: number;
}

function createTasks(
  job: string,
  count: number,
  options: JobOptions = {},
): QueuedTask[] {
  return Array.from({ length: count }, (_, index) => ({
    job,
    index,
    tenant: "a",
    class: "check",
    deadlineAtMs: 1_000,
    declaredMs: 100,
    ...options,
  }));
}

function drainUpTo(
  queue: ReturnType<typeof createTenantQueue>,
  maxTasks: number,
) {
  const taken: QueuedTask[] = [];
  queue.drain((task) => taken.length < maxTasks && taken.push(task) > 0, 0);
  return taken;
}

/** Tasks of 100 ms that exceed the allowed lead of a tenant of weight 1. */
const LEAD_TASKS = 41;

function createRandom(seed: number): () => number {
  let state = seed;
  return () => (state = (state * 48_271) % 2_147_483_647) / 2_147_483_647;
}

describe("createTenantQueue", () => {
  it("serves tenants in proportion to their weights while all have tasks", () => {
    const queue = createTenantQueue({ weightOf: (t) => t === "a" ? 3 : 1 });
    queue.push(createTasks("j1", 9_000, { tenant: "a" }));
    queue.push(createTasks("j2", 9_000, { tenant: "b" }));
    let ofA = 0;
    for (let step = 0; step < 8_000; step++) {
      for (const task of drainUpTo(queue, 1)) {
        ofA += task.tenant === "a" ? 1 : 0;
      }
    }
    expect(ofA).to.be.within(6_000 - LEAD_TASKS, 6_000 + 3 * LEAD_TASKS);
  });

  it("charges tenants for slot time rather than for the number of tasks", () => {
    const queue = createTenantQueue();
    queue.push(createTasks("j1", 9_000, { tenant: "a", declaredMs: 300 }));
    queue.push(createTasks("j2", 9_000, { tenant: "b", declaredMs: 100 }));
    const ofB =
      drainUpTo(queue, 8_000).filter((task) => task.tenant === "b").length;
    expect(ofB).to.be.within(6_000 - LEAD_TASKS, 6_000 + LEAD_TASKS);
  });

  it("serves a large job fairly beside small jobs of another tenant", () => {
    const queue = createTenantQueue();
    queue.push(createTasks("big", 500, { tenant: "b" }));
    for (let job = 0; job < 500; job++) queue.push(createTasks(`a${job}`, 1));
    const ofB =
      drainUpTo(queue, 400).filter((task) => task.tenant === "b").length;
    expect(ofB).to.be.within(200 - LEAD_TASKS, 200);
  });

  it("continues with other sub-queues when one cannot be placed", () => {
    const queue = createTenantQueue();
    queue.push(createTasks("j1", 10, { class: "unplaceable" }));
    queue.push(createTasks("j2", 2, { class: "check" }));
    queue.push(createTasks("j3", 2, { tenant: "b" }));
    const placed: string[] = [];
    queue.drain((task) => {
      if (task.class === "unplaceable") return false;
      placed.push(task.job);
      return true;
    }, 0);
    expect(placed.sort()).to.deep.equal(["j2", "j2", "j3", "j3"]);
    expect(queue.size()).to.equal(10);
  });

  it("requeues a task at the front of its tenant's queue", () => {
    const queue = createTenantQueue();
    queue.push(createTasks("j1", 1));
    queue.push(createTasks("j2", 1));
    const [first] = drainUpTo(queue, 1);
    queue.requeue(first!);
    expect(drainUpTo(queue, 2).map((task) => task.job)).to.deep.equal([
      "j1",
      "j2",
    ]);
  });

  it("removes all tasks of a job and all expired tasks", () => {
    const queue = createTenantQueue();
    queue.push(createTasks("j1", 5, { deadlineAtMs: 10 }));
    queue.push(createTasks("j2", 5));
    queue.push(createTasks("j3", 5, { tenant: "b" }));
    expect(queue.removeJob("j2")).to.have.length(5);
    expect(queue.removeExpired(10).map((t) => t.job)).to.deep.equal(
      Array(5).fill("j1"),
    );
    expect(queue.size("a")).to.equal(0);
    expect(drainUpTo(queue, 9)).to.have.length(5);
    expect(queue.size()).to.equal(0);
  });

  it("orders jobs by deadline or by least work", () => {
    for (const order of ["deadline", "leastWork"] as const) {
      const queue = createTenantQueue({ order });
      queue.push(createTasks("j1", 50, { deadlineAtMs: 900 }));
      queue.push(createTasks("j2", 1, { deadlineAtMs: 500 }));
      expect(drainUpTo(queue, 1)[0]!.job).to.equal("j2");
    }
  });

  it("delays only the tenant that is over its quota", () => {
    const nextStartAtMs = (tenant: string, nowMs: number) =>
      tenant === "a" ? Math.max(50, nowMs) : nowMs;
    const queue = createTenantQueue({ nextStartAtMs });
    queue.push(createTasks("j1", 2, { tenant: "a" }));
    queue.push(createTasks("j2", 2, { tenant: "b" }));
    expect(drainUpTo(queue, 9).map((task) => task.tenant)).to.deep.equal([
      "b",
      "b",
    ]);
    const later: QueuedTask[] = [];
    queue.drain((task) => later.push(task) > 0, 50);
    expect(later.map((task) => task.tenant)).to.deep.equal(["a", "a"]);
  });

  it("neither loses nor duplicates tasks under random operations", () => {
    const random = createRandom(7);
    const hasCapacity = () => random() < 0.9;
    const queue = createTenantQueue({ hasCapacity, slots: () => 4 });
    const queuedTasks = new Map<string, QueuedTask>();
    const keyOf = (task: QueuedTask) => `${task.job} ${task.index}`;
    for (let step = 0; step < 3_000; step++) {
      const tenant = `t${Math.floor(random() * 5)}`;
      const tasks = createTasks(`j${step}`, 1 + Math.floor(random() * 4), {
        tenant,
        class: `c${Math.floor(random() * 3)}`,
        deadlineAtMs: step + Math.floor(random() * 400),
        declaredMs: 1 + 500 * random(),
      });
      queue.push(tasks);
      for (const task of tasks) queuedTasks.set(keyOf(task), task);
      const taken: QueuedTask[] = [];
      queue.drain((task) => random() < 0.4 && taken.push(task) > 0, step);
      for (const task of taken) {
        expect(queuedTasks.delete(keyOf(task))).to.equal(true);
      }
      if (taken[0] !== undefined && random() < 0.3) {
        queue.requeue(taken[0]);
        queuedTasks.set(keyOf(taken[0]), taken[0]);
      }
      const dropped = [...queue.removeExpired(step)];
      if (random() < 0.1) dropped.push(...queue.removeJob(`j${step - 9}`));
      for (const task of dropped) {
        expect(queuedTasks.delete(keyOf(task))).to.equal(true);
      }
      expect(queue.size()).to.equal(queuedTasks.size);
      if (step % 50 > 0) continue;
      queue.drain((task) => queuedTasks.delete(keyOf(task)), step);
      expect(queuedTasks.size, `tasks remaining after step ${step}`).to.equal(
        0,
      );
    }
  });
});
