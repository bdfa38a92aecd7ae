import { expect } from "chai";
import { createTenantQueue, type Waiting } from "./index.ts";

interface JobOptions {
  readonly tenant?: string;
  readonly class?: string;
  readonly deadlineAtMs?: number;
  readonly declaredMs?: number;
}

function tasksOf(
  job: string,
  count: number,
  options: JobOptions = {},
): Waiting[] {
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

function take(queue: ReturnType<typeof createTenantQueue>, most: number) {
  const taken: Waiting[] = [];
  queue.drain((task) => taken.length < most && taken.push(task) > 0, 0);
  return taken;
}

/** Tasks of 100 ms in the lead that a tenant of weight 1 may have. */
const LEAD_TASKS = 41;

function createRandomNumbers(seed: number): () => number {
  let state = seed;
  return () => (state = (state * 48_271) % 2_147_483_647) / 2_147_483_647;
}

describe("createTenantQueue", () => {
  it("serves tenants by weight while all have work", () => {
    const queue = createTenantQueue({ weightOf: (t) => t === "a" ? 3 : 1 });
    queue.push(tasksOf("j1", 9_000, { tenant: "a" }));
    queue.push(tasksOf("j2", 9_000, { tenant: "b" }));
    let ofA = 0;
    for (let step = 0; step < 8_000; step++) {
      for (const task of take(queue, 1)) ofA += task.tenant === "a" ? 1 : 0;
    }
    expect(ofA).to.be.within(6_000 - LEAD_TASKS, 6_000 + 3 * LEAD_TASKS);
  });

  it("charges tenants for slot time and not for tasks", () => {
    const queue = createTenantQueue();
    queue.push(tasksOf("j1", 9_000, { tenant: "a", declaredMs: 300 }));
    queue.push(tasksOf("j2", 9_000, { tenant: "b", declaredMs: 100 }));
    const ofB = take(queue, 8_000).filter((task) => task.tenant === "b").length;
    expect(ofB).to.be.within(6_000 - LEAD_TASKS, 6_000 + LEAD_TASKS);
  });

  it("gives a big job its share beside another tenant's small ones", () => {
    const queue = createTenantQueue();
    queue.push(tasksOf("big", 500, { tenant: "b" }));
    for (let job = 0; job < 500; job++) queue.push(tasksOf(`a${job}`, 1));
    const ofB = take(queue, 400).filter((task) => task.tenant === "b").length;
    expect(ofB).to.be.within(200 - LEAD_TASKS, 200);
  });

  it("offers other lines when one line cannot be placed", () => {
    const queue = createTenantQueue();
    queue.push(tasksOf("j1", 10, { class: "unplaceable" }));
    queue.push(tasksOf("j2", 2, { class: "check" }));
    queue.push(tasksOf("j3", 2, { tenant: "b" }));
    const placed: string[] = [];
    queue.drain((task) => {
      if (task.class === "unplaceable") return false;
      placed.push(task.job);
      return true;
    }, 0);
    expect(placed.sort()).to.deep.equal(["j2", "j2", "j3", "j3"]);
    expect(queue.size()).to.equal(10);
  });

  it("puts a task back at the head of its tenant's line", () => {
    const queue = createTenantQueue();
    queue.push(tasksOf("j1", 1));
    queue.push(tasksOf("j2", 1));
    const [first] = take(queue, 1);
    queue.putBack(first!);
    expect(take(queue, 2).map((task) => task.job)).to.deep.equal(["j1", "j2"]);
  });

  it("removes jobs and expired tasks whole", () => {
    const queue = createTenantQueue();
    queue.push(tasksOf("j1", 5, { deadlineAtMs: 10 }));
    queue.push(tasksOf("j2", 5));
    queue.push(tasksOf("j3", 5, { tenant: "b" }));
    expect(queue.removeJob("j2")).to.have.length(5);
    expect(queue.removeExpired(10).map((t) => t.job)).to.deep.equal(
      Array(5).fill("j1"),
    );
    expect(queue.size("a")).to.equal(0);
    expect(take(queue, 9)).to.have.length(5);
    expect(queue.size()).to.equal(0);
  });

  it("orders jobs by deadline or by least work when asked", () => {
    for (const order of ["deadline", "leastWork"] as const) {
      const queue = createTenantQueue({ order });
      queue.push(tasksOf("j1", 50, { deadlineAtMs: 900 }));
      queue.push(tasksOf("j2", 1, { deadlineAtMs: 500 }));
      expect(take(queue, 1)[0]!.job).to.equal("j2");
    }
  });

  it("holds back a tenant over its quota and no other", () => {
    const startableAtMs = (tenant: string, nowMs: number) =>
      tenant === "a" ? Math.max(50, nowMs) : nowMs;
    const queue = createTenantQueue({ startableAtMs });
    queue.push(tasksOf("j1", 2, { tenant: "a" }));
    queue.push(tasksOf("j2", 2, { tenant: "b" }));
    expect(take(queue, 9).map((task) => task.tenant)).to.deep.equal(["b", "b"]);
    const later: Waiting[] = [];
    queue.drain((task) => later.push(task) > 0, 50);
    expect(later.map((task) => task.tenant)).to.deep.equal(["a", "a"]);
  });

  it("keeps every task exactly once through random use", () => {
    const random = createRandomNumbers(7);
    const hasRoom = () => random() < 0.9;
    const queue = createTenantQueue({ hasRoom, slots: () => 4 });
    const inside = new Map<string, Waiting>();
    const name = (task: Waiting) => `${task.job} ${task.index}`;
    for (let step = 0; step < 3_000; step++) {
      const tenant = `t${Math.floor(random() * 5)}`;
      const tasks = tasksOf(`j${step}`, 1 + Math.floor(random() * 4), {
        tenant,
        class: `c${Math.floor(random() * 3)}`,
        deadlineAtMs: step + Math.floor(random() * 400),
        declaredMs: 1 + 500 * random(),
      });
      queue.push(tasks);
      for (const task of tasks) inside.set(name(task), task);
      const taken: Waiting[] = [];
      queue.drain((task) => random() < 0.4 && taken.push(task) > 0, step);
      for (const task of taken) {
        expect(inside.delete(name(task))).to.equal(true);
      }
      if (taken[0] !== undefined && random() < 0.3) {
        queue.putBack(taken[0]);
        inside.set(name(taken[0]), taken[0]);
      }
      const dropped = [...queue.removeExpired(step)];
      if (random() < 0.1) dropped.push(...queue.removeJob(`j${step - 9}`));
      for (const task of dropped) {
        expect(inside.delete(name(task))).to.equal(true);
      }
      expect(queue.size()).to.equal(inside.size);
      if (step % 50 > 0) continue;
      queue.drain((task) => inside.delete(name(task)), step);
      expect(inside.size, `left after step ${step}`).to.equal(0);
    }
  });
});
