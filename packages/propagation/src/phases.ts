/**
 * What is done to the fleet while edits are made. Each phase leaves every
 * process running with the newest version in force.
 */
import { MAX_LAG_MS } from "@coltsfootreach/configure";
import type { Child } from "@coltsfootreach/fleet";
import { type Bed, sleep, until } from "./bed.ts";
import type { Checks, Phase } from "./checks.ts";
import type { Accepted, Edit, Operator } from "./operator.ts";
import { inForceSince } from "./version_log.ts";

const READY_WITHIN_MS = 30_000;

/** Longer than the lease of an entry. */
const STORE_OUTAGE_MS = 4000;

const PAUSE_MS = 300;

const UNREADY_CHECK_MS = 2000;

/** Longer than the lease of an entry and what follows on its lapse. */
const LAPSED_MS = 8000;

export interface Trial {
  readonly bed: Bed;
  readonly checks: Checks;
  readonly operator: Operator;
  readonly rival: Operator;
  nextEdit(): Extract<Edit, { weight: number }>;
}

async function editAndWait(trial: Trial, phase: Phase): Promise<Accepted> {
  const accepted = await trial.operator.apply(trial.nextEdit());
  await trial.checks.awaitInForce(phase, accepted);
  return accepted;
}

async function awaitReady({ bed, checks }: Trial, entry: number) {
  const isReady = await until(() => bed.isReady(entry), READY_WITHIN_MS);
  checks.expect(isReady, `entry-${entry} did not become ready`);
}

/** Starts an ended process again and waits until its new run is on record. */
async function startAgain({ bed, checks }: Trial, child: Child): Promise<void> {
  const before = bed.latest().get(child.name);
  child.restart();
  const hasStarted = await until(
    () => bed.latest().get(child.name)?.startedAtMs !== before?.startedAtMs,
    READY_WITHIN_MS,
  );
  checks.expect(hasStarted, `${child.name} did not start`);
}

/** Time from the last start of a process until it had the version. */
function timeFromStart({ bed }: Trial, name: string, version: number): number {
  const run = bed.latest().get(name)!;
  return (inForceSince(run, version) ?? Infinity) - run.startedAtMs;
}

/** Which runs of the entries are members, by entry; undefined when silent. */
async function incarnations({ bed }: Trial): Promise<readonly unknown[]> {
  const statuses = await Promise.all([0, 1].map((entry) => bed.status(entry)));
  return statuses.map((status) => status?.incarnation);
}

export async function editQuietly(trial: Trial, edits: number): Promise<void> {
  const phase = trial.checks.begin("quiet");
  for (let edit = 0; edit < edits; edit++) await editAndWait(trial, phase);
}

/** Two operators edit the same version at once. */
export async function raceOperators(
  trial: Trial,
  races: number,
): Promise<void> {
  const phase = trial.checks.begin("race");
  for (let race = 0; race < races; race++) await raceOnce(trial, phase);
}

async function raceOnce(trial: Trial, phase: Phase): Promise<void> {
  const { checks, operator, rival } = trial;
  const base = await operator.read();
  const weight = trial.nextEdit().weight;
  const [one, other] = await Promise.all([
    operator.applyOn(base, { tenant: "kiln-crews", weight }),
    rival.applyOn(base, { tenant: "bindery-desks", weight }),
  ]);
  const atMs = Date.now();
  const kinds = [one.kind, other.kind].sort().join(" ");
  checks.expect(kinds === "accepted conflict", `race: ended as ${kinds}`);
  const differences = await operator.differences(
    base.version,
    base.version + 1,
  );
  checks.expect(
    differences.length === 1 && differences[0]!.section === "tenants",
    `race: ${differences.length} differences in place of one`,
  );
  const accepted = { version: base.version + 1, atMs };
  await checks.awaitInForce(phase, accepted);
}

/** The answer to the compare-and-swap is lost. */
export async function loseAnswer(trial: Trial): Promise<void> {
  const phase = trial.checks.begin("answerLost");
  await trial.bed.setStoreFaults({ lostAnswers: 1 });
  await editAndWait(trial, phase);
  await trial.bed.setStoreFaults({ lostAnswers: 0 });
}

export async function replaceEntry(trial: Trial): Promise<void> {
  const { bed, checks, operator } = trial;
  const phase = checks.begin("entryKilledAndReplaced");
  const { child } = bed.fleet.entries[1]!;
  const before = await operator.apply(trial.nextEdit());
  child.signal("SIGKILL");
  await child.ended();
  const during = await operator.apply(trial.nextEdit());
  child.restart();
  const after = await operator.apply(trial.nextEdit());
  await awaitReady(trial, 1);
  for (const accepted of [before, during, after]) {
    await checks.awaitInForce(phase, accepted);
  }
  phase.notes.newEntryMs = timeFromStart(trial, child.name, after.version);
}

export async function restartEntries(trial: Trial): Promise<void> {
  const { bed, checks, operator } = trial;
  const phase = checks.begin("rollingRestart");
  for (const [index, { child }] of bed.fleet.entries.entries()) {
    child.signal("SIGTERM");
    const during = await operator.apply(trial.nextEdit());
    const code = await child.ended();
    checks.expect(code === 0, `${child.name} ended with ${code}`);
    child.restart();
    await awaitReady(trial, index);
    await checks.awaitInForce(phase, during);
    await editAndWait(trial, phase);
  }
}

/** The store fails right after accept; new processes start meanwhile. */
export async function failStore(trial: Trial): Promise<void> {
  const { bed, checks, operator } = trial;
  const phase = checks.begin("storeFailsAfterAccept");
  const membersBefore = await incarnations(trial);
  const accepted = await operator.apply(trial.nextEdit());
  await bed.setStoreFaults({ outage: "unavailable" });
  await checks.awaitInForce(phase, accepted);

  const side = bed.fleet.sides[0]!;
  side.signal("SIGKILL");
  await side.ended();
  await startAgain(trial, side);
  await checks.awaitInForce(phase, accepted);
  phase.notes.newSideMs = timeFromStart(trial, side.name, accepted.version);

  const { child } = bed.fleet.entries[2]!;
  child.signal("SIGKILL");
  await child.ended();
  const startedAgain = startAgain(trial, child);
  const becameReady = await until(() => bed.isReady(2), UNREADY_CHECK_MS);
  checks.expect(!becameReady, "a new entry joined without the store");
  await sleep(STORE_OUTAGE_MS);
  await bed.setStoreFaults({ outage: "none" });
  const restoredAtMs = performance.now();
  await startedAgain;
  await awaitReady(trial, 2);
  phase.notes.newEntryReadyAfterOutageMs = Math.round(
    performance.now() - restoredAtMs,
  );
  await checks.awaitInForce(phase, accepted);
  const membersAfter = await incarnations(trial);
  checks.expect(
    JSON.stringify(membersAfter) === JSON.stringify(membersBefore),
    "living entries were removed after an outage of the store",
  );
}

/** Only one entry hears of the version before the store fails. */
export async function learnFromPeer(trial: Trial): Promise<void> {
  const { bed, checks, operator } = trial;
  const phase = checks.begin("learnedFromPeer");
  const [first, ...others] = bed.fleet.entries;
  others.forEach(({ child }) => child.signal("SIGSTOP"));
  const accepted = await operator.apply(trial.nextEdit());
  const hasIt = () => {
    const run = bed.latest().get(first!.child.name)!;
    return inForceSince(run, accepted.version) !== undefined;
  };
  checks.expect(await until(hasIt, MAX_LAG_MS), "the first entry lacks it");
  await bed.setStoreFaults({ outage: "unavailable" });
  await sleep(PAUSE_MS);
  const dueFromMs = Date.now();
  others.forEach(({ child }) => child.signal("SIGCONT"));
  await checks.awaitInForce(phase, accepted, { dueFromMs });
  await bed.setStoreFaults({ outage: "none" });
}

/** A side that is paused is named, gets no work, and catches up. */
export async function pauseSide(trial: Trial): Promise<void> {
  const { bed, checks, operator } = trial;
  const phase = checks.begin("sidePaused");
  const side = bed.fleet.sides.at(-1)!;
  side.signal("SIGSTOP");
  const accepted = await operator.apply(trial.nextEdit());
  const isNamed = async () => {
    const status = await bed.status(0);
    const laggards = status?.laggards ?? [];
    return laggards.some((one) => one.process === side.name && one.overdue);
  };
  const named = await until(isNamed, 2 * MAX_LAG_MS);
  phase.notes.namedAfterMs = Date.now() - accepted.atMs;
  checks.expect(named, `${side.name} was not named as a laggard`);
  const top = await bed.top(0);
  const row = top?.servers.find((one) => one.side === side.name);
  checks.expect(row?.state !== "in", `${side.name} still takes work`);
  const dueFromMs = Date.now();
  side.signal("SIGCONT");
  await checks.awaitInForce(phase, accepted, { dueFromMs });
}

/** A held takeover is not done anywhere, and is done once released. */
export async function holdTakeover(trial: Trial): Promise<void> {
  const { bed, checks, operator } = trial;
  const phase = checks.begin("takeoverHeld");
  const held = await operator.apply({ kind: "takeOver", held: true });
  await checks.awaitInForce(phase, held);
  const lost = bed.fleet.entries[2]!.child;
  const isListed = async () => {
    const status = await bed.status(0);
    return status?.table.members.some(({ name }) => name === lost.name) ?? true;
  };
  lost.signal("SIGKILL");
  await lost.ended();
  await sleep(LAPSED_MS);
  checks.expect(await isListed(), "a held takeover was carried out");
  await operator.apply({ kind: "takeOver", held: false });
  const releasedAtMs = performance.now();
  const isRemoved = await until(
    async () => !(await isListed()),
    LAPSED_MS,
  );
  checks.expect(isRemoved, "a released takeover was not carried out");
  phase.notes.takenOverAfterReleaseMs = Math.round(
    performance.now() - releasedAtMs,
  );
  const acts = await bed.acts(0);
  const takeover = acts.find(({ kind, subject, undoneAtMs }) =>
    kind === "takeOver" && subject === lost.name && undoneAtMs === undefined
  );
  checks.expect(takeover !== undefined, "the takeover is not on record");
  await startAgain(trial, lost);
  await awaitReady(trial, 2);
  const undone = await until(async () => {
    const now = await bed.acts(0);
    return now.find(({ id }) => id === takeover?.id)?.undoneAtMs !== undefined;
  }, MAX_LAG_MS);
  checks.expect(undone, "the takeover stands after the entry's return");
  await editAndWait(trial, phase);
}
