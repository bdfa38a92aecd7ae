/** The sentences that scenarios are written in. */
import { expect } from "chai";
import type { Reply, Verdict } from "@coltsfootreach/types";
import type { Call, Harness } from "./harness.ts";
import { tell } from "./harness.ts";
import type { Stage } from "./stage.ts";

export interface Step {
  /** A cucumber expression. */
  readonly text: string;
  run(stage: Stage, ...values: never[]): void;
}

function step<Values extends unknown[]>(
  text: string,
  run: (stage: Stage, ...values: Values) => void,
): Step {
  return { text, run: run as unknown as Step["run"] };
}

/** A step that does something to the system. */
function action<Values extends unknown[]>(
  text: string,
  run: (harness: Harness, ...values: Values) => void,
): Step {
  return step<Values>(text, (stage, ...values) => {
    let at = 0;
    const event = text.replace(/\{\w+\}/g, () => String(values[at++]))
      .replace(/\((\w+)\)/g, "$1");
    stage.act(event, (harness) => run(harness, ...values));
  });
}

/** Names in a list such as `A, B and C`. */
function namesIn(list: string): readonly string[] {
  return list.split(/,\s*|\s+and\s+/).map((name) => name.trim());
}

function stateOf(reply: Reply | undefined): string {
  if (reply === undefined) return "open";
  if (reply.kind === "answered") return reply.answer.state;
  return reply.kind;
}

function verdictOf(reply: Reply): Verdict | undefined {
  if (reply.kind === "answered") return reply.answer.verdict;
  return reply.kind === "refused" ? reply.refusal.verdict : undefined;
}

function expectReply(call: Call, state: string): void {
  const told = call.reply === undefined ? "nothing" : tell(call.reply);
  expect(stateOf(call.reply), `${call.entry} said ${told}`).to.equal(state);
}

/** Submissions that were not cut off with their entry. */
function liveCalls(harness: Harness): readonly Call[] {
  return harness.calls().filter((call) =>
    call.kind === "submit" && !call.isBroken
  );
}

function awaitReply(stage: Stage, job: string, ms: number): Call {
  const isBack = () => stage.lastCall(job).reply !== undefined;
  stage.await(ms, isBack);
  return stage.lastCall(job);
}

/** Submits jobs of one task, one after the other, to the entries in turn. */
function submitMany(
  harness: Harness,
  load: { count: number; everyMs: number; entries: readonly string[] },
): void {
  const { count, everyMs, entries } = load;
  const first = harness.calls().length;
  for (let number = 0; number < count; number++) {
    const name = `load-${first + number}`;
    harness.makeJob(name, { tasks: 1 });
    const ready = entries.filter((entry) => harness.entry(entry)?.isReady());
    const at = ready[number % ready.length];
    if (at !== undefined) harness.submit(name, at);
    harness.advance(everyMs);
  }
}

const SETUP: readonly Step[] = [
  step<[number]>("seed {int}", (stage, seed) => stage.setSeed(seed)),
  step<[string, string]>(
    "entries {string} and sides {string}",
    (stage, entries, sides) =>
      stage.open({
        entries: namesIn(entries),
        sides: namesIn(sides),
        resubmits: true,
      }),
  ),
  step<[string, string, number]>(
    "entries {string} and sides {string} with {int} slot(s) each",
    (stage, entries, sides, slots) =>
      stage.open({
        entries: namesIn(entries),
        sides: namesIn(sides),
        slots,
        resubmits: true,
      }),
  ),
  action<[string, number, string]>(
    "job {word} of {int} task(s) that entry {word} owns",
    (harness, name, tasks, owner) => {
      harness.makeJob(name, { tasks, owner });
    },
  ),
  action<[string, number, string, number]>(
    "job {word} of {int} task(s) that entry {word} owns, due in {int} ms",
    (harness, name, tasks, owner, deadlineMs) => {
      harness.makeJob(name, { tasks, owner, deadlineMs });
    },
  ),
  action<[string, number]>(
    "tasks on side {word} take {int} ms",
    (harness, side, ms) => harness.server(side).setRunMs(ms),
  ),
];

const CALLERS: readonly Step[] = [
  action<[string, string]>(
    "the caller submits job {word} to entry {word}",
    (harness, job, entry) => harness.submit(job, entry),
  ),
  action<[string, string]>(
    "the caller resubmits job {word} to entry {word}",
    (harness, job, entry) => harness.submit(job, entry),
  ),
  action<[string, string]>(
    "the caller cancels job {word} at entry {word}",
    (harness, job, entry) => harness.cancel(job, entry),
  ),
  action<[number, number, string]>(
    "callers submit {int} jobs, one every {int} ms, to entries {string}",
    (harness, count, everyMs, entries) =>
      submitMany(harness, { count, everyMs, entries: namesIn(entries) }),
  ),
  action("the callers cancel everything", (harness) => {
    const open = liveCalls(harness).filter((call) => call.reply === undefined);
    for (const { id, entry } of open) {
      harness.cancel(id.split("\n")[1]!, entry);
    }
  }),
];

const PROCESSES: readonly Step[] = [
  action<[string]>(
    "entry {word} is killed",
    (harness, name) => harness.killEntry(name),
  ),
  action<[string]>(
    "entry {word} is started",
    (harness, name) => harness.startEntry(name),
  ),
  action<[string]>(
    "entry {word} is stopped",
    (harness, name) => harness.drainEntry(name),
  ),
  action<[string]>(
    "entry {word} is paused",
    (harness, name) => harness.entry(name)!.host.pause(),
  ),
  action<[string]>(
    "entry {word} wakes",
    (harness, name) => harness.entry(name)!.host.resume(),
  ),
  action<[string]>(
    "side {word} is killed",
    (harness, name) => harness.killSide(name),
  ),
  action<[string]>(
    "side {word} is started",
    (harness, name) => harness.startSide(name),
  ),
  action<[string]>(
    "side {word} is stopped",
    (harness, name) => harness.drainSide(name),
  ),
  action<[string]>(
    "side {word} is paused",
    (harness, name) => harness.side(name)!.host.pause(),
  ),
  action<[string]>(
    "side {word} wakes",
    (harness, name) => harness.side(name)!.host.resume(),
  ),
  action<[string]>(
    "the backend server of side {word} goes down",
    (harness, side) => harness.server(side).setMode("down"),
  ),
  action<[string]>(
    "the backend server of side {word} fails every task",
    (harness, side) => harness.server(side).setMode("failing"),
  ),
  action<[string]>(
    "the backend server of side {word} is well",
    (harness, side) => harness.server(side).setMode("up"),
  ),
];

const LINKS: readonly Step[] = [
  action<[string, string]>(
    "the link between {word} and {word} goes silent",
    (harness, a, b) => harness.network.silence(a, b),
  ),
  action<[string, string]>(
    "the link between {word} and {word} breaks",
    (harness, a, b) => harness.network.breakStreams(a, b),
  ),
  action<[string, string]>(
    "{word} and {word} are cut off from each other",
    (harness, a, b) => harness.network.cut(a, b),
  ),
  action<[string, string]>(
    "{word} and {word} reach each other again",
    (harness, a, b) => harness.network.heal(a, b),
  ),
  action<[string, string]>(
    "messages between {word} and {word} are held up",
    (harness, a, b) => harness.network.hold(a, b),
  ),
  action<[string, string]>(
    "messages between {word} and {word} arrive",
    (harness, a, b) => harness.network.release(a, b, false),
  ),
  action<[string, string]>(
    "messages between {word} and {word} arrive, newest stream first",
    (harness, a, b) => harness.network.release(a, b, true),
  ),
  action<[string, string]>(
    "the last message from {word} to {word} arrives again",
    (harness, a, b) => {
      harness.network.repeatLast(a, b);
    },
  ),
];

const STORE: readonly Step[] = [
  action("the store goes down", (harness) => harness.store.setOut(true)),
  action("the store is back", (harness) => harness.store.setOut(false)),
  action(
    "the store loses the answer of the next write",
    (harness) => harness.store.loseNextAnswer(),
  ),
  action<[string]>(
    "the lease of entry {word} lapses",
    (harness, name) => harness.store.lapse(harness.entry(name)!.incarnation()),
  ),
  action<[string]>(
    "entry {word} cannot reach the store",
    (harness, name) => harness.store.setReachable(name, false),
  ),
  action<[string]>(
    "entry {word} reaches the store again",
    (harness, name) => harness.store.setReachable(name, true),
  ),
];

const EXPECTATIONS: readonly Step[] = [
  step<[number]>("{int} ms pass", (stage, ms) => stage.harness().advance(ms)),
  step<[string, string, number]>(
    "job {word} ends {word} within {int} ms",
    (stage, job, state, ms) => expectReply(awaitReply(stage, job, ms), state),
  ),
  step<[string, string, number]>(
    "job {word} ends with verdict {word} within {int} ms",
    (stage, job, verdict, ms) => {
      const { reply } = awaitReply(stage, job, ms);
      expect(reply, "no reply").not.to.equal(undefined);
      expect(verdictOf(reply!), tell(reply!)).to.equal(verdict);
    },
  ),
  step<[string]>("job {word} is answered late", (stage, job) => {
    const { reply } = stage.lastCall(job);
    expect(reply?.kind === "answered" && reply.answer.late).to.equal(true);
  }),
  step<[string]>("job {word} is still open", (stage, job) => {
    expectReply(stage.lastCall(job), "open");
  }),
  step<[number]>("every job is complete within {int} ms", (stage, ms) => {
    const isOver = () =>
      liveCalls(stage.harness()).every((call) => call.reply !== undefined);
    stage.await(ms, isOver);
    for (const call of liveCalls(stage.harness())) {
      expectReply(call, "complete");
    }
  }),
  step<[number]>("every job has an answer within {int} ms", (stage, ms) => {
    const isOver = () =>
      liveCalls(stage.harness()).every((call) => call.reply !== undefined);
    expect(stage.await(ms, isOver), "a job is still open").to.equal(true);
  }),
  step<[string, number]>(
    "{int} task(s) of job {word} have started",
    (stage, ...values) => {
      const [count, job] = values as unknown as [number, string];
      const { tenant, key, tasks } = stage.harness().job(job);
      const started = tasks.filter((_, index) =>
        stage.harness().log.startsOf(`${tenant}\n${key}`, index).length > 0
      );
      expect(started.length).to.equal(count);
    },
  ),
];

export const STEPS: readonly Step[] = [
  ...SETUP,
  ...CALLERS,
  ...PROCESSES,
  ...LINKS,
  ...STORE,
  ...EXPECTATIONS,
];
