/**
 * Runs tasks on the backend server over HTTP. A connection that goes silent is
 * resolved over a new one: the backend server says whether the task runs, or
 * takes a revocation that makes `notRun` true.
 */
import { Client, Pool } from "undici";
import { z } from "zod";
import type {
  Announcement,
  Start,
  TaskId,
  TaskOutcome,
} from "@coltsfootreach/types";

/** Time without an answer after which the backend server is asked. */
const ASK_AFTER_MS = 2000;

/** Bound on one question to the backend server. */
const ASK_TIMEOUT_MS = 2000;

/** Unanswered questions after which the task's fate is unknown. */
const MAX_UNANSWERED = 3;

const HTTP_OK = 200;

const VERDICT_HEADER = "coltsfootreach-verdict";

const CLASS_HEADER = "coltsfootreach-class";

const taskState = z.object({
  state: z.enum(["unknown", "running", "finished", "revoked"]),
  outcome: z.object({ status: z.number(), body: z.string() }).optional(),
});

type Question = z.infer<typeof taskState>;

export interface Runner {
  /** Never rejects; the outcome says what is known. */
  run(start: Start): Promise<TaskOutcome>;
  /** Asks the backend server to stop a task that runs. */
  stop(name: TaskId): void;
  /** Closes idle connections; running tasks go on. */
  close(): void;
}

export function createRunner(announcement: Announcement): Runner {
  const { origin, server } = announcement;
  const pool = new Pool(origin, {
    connections: announcement.connections,
    pipelining: 1,
    headersTimeout: 0,
    bodyTimeout: 0,
  });

  function pathOf(name: TaskId): string {
    return `/tasks/${encodeURIComponent(`${name.job}\n${name.index}`)}`;
  }

  /** Asks over a connection of its own. */
  async function ask(
    path: string,
    method: "GET" | "POST",
  ): Promise<Question | undefined> {
    const client = new Client(origin);
    try {
      const answer = await client.request({
        path,
        method,
        signal: AbortSignal.timeout(ASK_TIMEOUT_MS),
      });
      return taskState.parse(await answer.body.json());
    } catch {
      return undefined;
    } finally {
      void client.destroy();
    }
  }

  /** Resolves a task whose answer did not come; undefined while it runs. */
  async function resolve(
    start: Start,
    tries: { left: number },
  ): Promise<TaskOutcome | undefined> {
    const path = pathOf(start);
    const state = await ask(path, "GET");
    if (state === undefined) {
      tries.left -= 1;
      return tries.left > 0 ? undefined : inDoubt(start.index, server);
    }
    tries.left = MAX_UNANSWERED;
    if (state.state === "running") return undefined;
    if (state.outcome !== undefined) {
      return outcomeOf(start.index, server, state.outcome);
    }
    if (state.state === "finished") return inDoubt(start.index, server);
    const revoked = await ask(`${path}/revocation`, "POST");
    return revoked?.state === "revoked" ? notRun(start.index) : undefined;
  }

  async function send(
    start: Start,
    signal: AbortSignal,
  ): Promise<TaskOutcome> {
    const startedAtMs = performance.now();
    const answer = await pool.request({
      method: "POST",
      path: pathOf(start),
      headers: { [CLASS_HEADER]: start.class },
      body: start.body,
      signal,
    });
    const body = await answer.body.text();
    if (answer.headers[VERDICT_HEADER] === "notRun") return notRun(start.index);
    const runMs = performance.now() - startedAtMs;
    const status = answer.statusCode;
    return { ...outcomeOf(start.index, server, { status, body }), runMs };
  }

  async function run(start: Start): Promise<TaskOutcome> {
    const abort = new AbortController();
    const tries = { left: MAX_UNANSWERED };
    let resolved: TaskOutcome | undefined;
    let isAsking = false;
    const timer = setInterval(async () => {
      if (isAsking) return;
      isAsking = true;
      resolved = await resolve(start, tries);
      isAsking = false;
      if (resolved !== undefined) abort.abort();
    }, ASK_AFTER_MS);
    try {
      return await send(start, abort.signal);
    } catch (error) {
      if (resolved !== undefined) return resolved;
      if (wasNeverSent(error)) return notRun(start.index);
      return await resolveBroken(start);
    } finally {
      clearInterval(timer);
    }
  }

  /** The connection broke while the task may have been under way. */
  async function resolveBroken(start: Start): Promise<TaskOutcome> {
    const tries = { left: MAX_UNANSWERED };
    for (;;) {
      const outcome = await resolve(start, tries);
      if (outcome !== undefined) return outcome;
      await new Promise((wake) => setTimeout(wake, ASK_AFTER_MS));
    }
  }

  return {
    run,
    stop(name) {
      void ask(`${pathOf(name)}/stop`, "POST");
    },
    close() {
      void pool.close();
    },
  };
}

/** True when the connection failed before any byte of the request left. */
function wasNeverSent(error: unknown): boolean {
  const code = (error as { code?: string }).code;
  return code === "ECONNREFUSED" || code === "UND_ERR_CONNECT_TIMEOUT";
}

function outcomeOf(
  index: number,
  server: string,
  answer: { status: number; body: string },
): TaskOutcome {
  const { status, body } = answer;
  const isComplete = status === HTTP_OK;
  return {
    index,
    state: isComplete ? "complete" : "failed",
    verdict: "ran",
    body,
    reason: isComplete ? undefined : `the backend server answered ${status}`,
    server,
  };
}

function notRun(index: number): TaskOutcome {
  return { index, state: "failed", verdict: "notRun" };
}

function inDoubt(index: number, server: string): TaskOutcome {
  return {
    index,
    state: "failed",
    verdict: "mayHaveRun",
    reason: "the backend server was lost while the task was under way",
    server,
  };
}
