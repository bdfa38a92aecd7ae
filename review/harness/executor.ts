/**
 * Stand-in for a backend server, by the users' protocol: numbered runs under a
 * lease on its own clock, fencing tokens, stops, and lists of ends.
 */
import { request } from "node:http";
import {
  type JsonRequest,
  type JsonResponse,
  type JsonServer,
  serveJson,
} from "./json_server.ts";
import type { RecordLog } from "./record.ts";

export interface RunSpan {
  readonly task: string;
  readonly run: number;
  readonly executor: string;
  readonly startedAt: number;
  endedAt: number;
  end: string;
}

export interface ExecutorOptions {
  readonly id: string;
  /** Where its side calls it, and where the side hears it, as `IP:port`. */
  readonly address: string;
  readonly sideAddress: string;
  readonly service: string;
  readonly zone: string;
  readonly labels: readonly string[];
  readonly cpu: number;
  /** Rate of its steady clock; the pages allow 0.98 to 1. */
  readonly clockRate: number;
  /** How long it has been up when the scenario starts. */
  readonly upForMs: number;
  readonly record: RecordLog;
  workMs(task: string): number;
  /** Called when a run has started. */
  started?(span: RunSpan): void;
}

export interface Executor {
  readonly id: string;
  readonly spans: RunSpan[];
  /** Crashes; starts again under its id after `downMs`. */
  restart(downMs: number, firstBeatMs?: number): Promise<void>;
  /** While true, calls are carried out and get no response. */
  setMute(isMute: boolean): void;
  /** Called for each call; true if this call is to get no response. */
  setLoss(isLost: () => boolean): void;
  close(): Promise<void>;
}

interface Running {
  readonly span: RunSpan;
  readonly workMs: number;
  isStopping: boolean;
  timer: NodeJS.Timeout;
}

const BEAT_MS = 1500;

const HOLD_MAX_MS = 1000;

/** The pages allow up to 50 ms. */
const STOP_MS = 20;

export async function startExecutor(
  options: ExecutorOptions,
): Promise<Executor> {
  const { record, id } = options;
  const spans: RunSpan[] = [];
  let running = new Map<string, Running>();
  let ends: { number: number; task: string; run: number; how: string }[] = [];
  let barred = new Map<string, number>();
  let waiters: (() => void)[] = [];
  let endNumber = 0;
  let fence = 0;
  let leaseUntil = 0;
  let born = Date.now() - options.upForMs;
  let bornAt = performance.now() - options.upForMs;
  let sequence = 0;
  let isMute = false;
  let isLost = () => false;
  let server: JsonServer | undefined;
  let beatTimer: NodeJS.Timeout | undefined;
  let leaseTimer: NodeJS.Timeout | undefined;

  function clockMs(): number {
    return Math.floor((performance.now() - bornAt) * options.clockRate);
  }

  function keyOf(task: string, run: number): string {
    return `${task}#${run}`;
  }

  function endRun(key: string, how: string): void {
    const entry = running.get(key);
    if (entry === undefined) return;
    clearTimeout(entry.timer);
    running.delete(key);
    const { span } = entry;
    span.endedAt = performance.now();
    span.end = how;
    endNumber += 1;
    ends.push({ number: endNumber, task: span.task, run: span.run, how });
    barred.set(span.task, Math.max(span.run, barred.get(span.task) ?? 0));
    record.add(`${id}: run ${span.run} of ${span.task} ends ${how}`);
    for (const wake of waiters.splice(0)) wake();
  }

  function extendLease(untilMs: unknown): void {
    if (typeof untilMs !== "number") return;
    const granted = Math.min(untilMs, clockMs() + HOLD_MAX_MS);
    leaseUntil = Math.max(leaseUntil, granted);
    watchLease();
  }

  function watchLease(): void {
    clearTimeout(leaseTimer);
    if (running.size === 0) return;
    const leftMs = (leaseUntil - clockMs()) / options.clockRate;
    if (leftMs <= 0) {
      for (const key of [...running.keys()]) endRun(key, "lapsed");
      return;
    }
    leaseTimer = setTimeout(watchLease, Math.max(1, leftMs));
  }

  function answer(status: number, fields: object = {}): JsonResponse {
    return { status, body: { clock_ms: clockMs(), born, ...fields } };
  }

  function start(body: JsonRequest["body"]): JsonResponse {
    const task = String(body.task);
    const run = Number(body.run);
    const key = keyOf(task, run);
    const until = Number(body.until_ms);
    if (running.has(key)) {
      extendLease(until);
      return answer(200);
    }
    if (run <= (barred.get(task) ?? 0)) {
      extendLease(until);
      return answer(409, { reason: "old" });
    }
    if (until < clockMs()) return answer(409, { reason: "late" });
    const span: RunSpan = {
      task,
      run,
      executor: id,
      startedAt: performance.now(),
      endedAt: Infinity,
      end: "",
    };
    spans.push(span);
    const workMs = options.workMs(task);
    const timer = setTimeout(() => endRun(key, "done"), workMs);
    running.set(key, { span, workMs, isStopping: false, timer });
    record.add(`${id}: run ${run} of ${task} starts`);
    extendLease(until);
    options.started?.(span);
    return answer(200);
  }

  function stop(body: JsonRequest["body"]): JsonResponse {
    const task = String(body.task);
    const run = Number(body.run);
    barred.set(task, Math.max(run, barred.get(task) ?? 0));
    const entry = running.get(keyOf(task, run));
    if (entry !== undefined && !entry.isStopping) {
      entry.isStopping = true;
      clearTimeout(entry.timer);
      entry.timer = setTimeout(
        () => endRun(keyOf(task, run), "stopped"),
        STOP_MS,
      );
    }
    return answer(200);
  }

  async function hold(body: JsonRequest["body"]): Promise<JsonResponse> {
    extendLease(body.until_ms);
    const observed = Number(body.observed ?? 0);
    ends = ends.filter((end) => end.number > observed);
    const waitMs = Number(body.wait_ms ?? 0);
    if (ends.length === 0 && waitMs > 0) {
      await new Promise<void>((resolve) => {
        const timer = setTimeout(resolve, waitMs);
        waiters.push(() => {
          clearTimeout(timer);
          resolve();
        });
      });
    }
    const now = performance.now();
    const rows = [...running.values()].map(({ span, workMs }) => [
      span.task,
      span.run,
      "",
      Math.min(99, Math.floor(100 * (now - span.startedAt) / workMs)),
    ]);
    const finished = ends.slice(0, 500)
      .map(({ number, task, run, how }) => [number, task, run, how, ""]);
    return answer(200, { running: rows, finished });
  }

  async function execute(request: JsonRequest): Promise<JsonResponse> {
    const target = request.header("coltsfootreach-target-instance");
    if (target !== undefined && target !== id) return answer(421);
    const { body } = request;
    const token = Number(body.fencing_token ?? 0);
    if (token < fence) return answer(409, { reason: "fence" });
    fence = token;
    switch (request.url.pathname) {
      case "/v1/run-start":
        return start(body);
      case "/v1/run-stop":
        return stop(body);
      case "/v1/hold":
        return await hold(body);
      default:
        return answer(400);
    }
  }

  async function handle(
    request: JsonRequest,
  ): Promise<JsonResponse | undefined> {
    const lost = isLost() || isMute;
    const life = bornAt;
    const response = await execute(request);
    return lost || isMute || life !== bornAt ? undefined : response;
  }

  function beat(): void {
    sequence += 1;
    const [host, port] = options.sideAddress.split(":");
    const outgoing = request({
      host,
      port,
      method: "POST",
      path: `/v1/executors/${id}/heartbeat`,
      headers: { "content-type": "application/json" },
      agent: false,
    });
    outgoing.on("response", (response) => response.resume());
    outgoing.on("error", () => {});
    outgoing.end(JSON.stringify({
      service: options.service,
      address: options.address,
      zone: options.zone,
      version: "v1",
      slots: 8,
      state: "ready",
      cold_left_ms: 0,
      capacity: { cpu: options.cpu, mem_mb: 65_536, gpu: 0 },
      labels: options.labels,
      clock_ms: clockMs(),
      born,
      sequence,
    }));
    beatTimer = setTimeout(beat, BEAT_MS);
  }

  async function shutDown(): Promise<void> {
    clearTimeout(beatTimer);
    clearTimeout(leaseTimer);
    for (const { span, timer } of running.values()) {
      clearTimeout(timer);
      span.endedAt = performance.now();
      span.end = "crashed";
      record.add(`${id}: run ${span.run} of ${span.task} ends crashed`);
    }
    running = new Map();
    await server?.close();
    server = undefined;
  }

  server = await serveJson(options.address, handle);
  beat();
  return {
    id,
    spans,
    async restart(downMs, firstBeatMs = 0) {
      record.add(`${id}: crashes`);
      await shutDown();
      await new Promise((resolve) => setTimeout(resolve, downMs));
      ends = [];
      barred = new Map();
      waiters = [];
      endNumber = 0;
      fence = 0;
      leaseUntil = 0;
      sequence = 0;
      born = Date.now();
      bornAt = performance.now();
      server = await serveJson(options.address, handle);
      record.add(`${id}: starts again under its id`);
      beatTimer = setTimeout(beat, firstBeatMs);
    },
    setMute(value) {
      isMute = value;
      record.add(`${id}: ${value ? "answers no more calls" : "answers again"}`);
    },
    setLoss(next) {
      isLost = next;
    },
    close: shutDown,
  };
}
