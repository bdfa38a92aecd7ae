/** Stand-in for clients: submits jobs and sends them again as the pages say. */
import { request } from "node:http";
import { randomBytes } from "node:crypto";
import type { RecordLog } from "./record.ts";

export interface Attempt {
  readonly front: string;
  readonly sentAt: number;
  readonly answeredAt: number;
  /** Undefined for no response or a broken connection. */
  readonly status: number | undefined;
  readonly body: string;
}

export interface JobOptions {
  readonly record: RecordLog;
  readonly queue: string;
  readonly steps: readonly object[];
  /** Addresses for the first attempt and the later ones. */
  readonly fronts: readonly string[];
  /** How long the client waits for a response. */
  readonly deadlineMs: number;
}

/** The users' `resend_ms`. */
const RESEND_MS = 1300;

export function newId(): string {
  return randomBytes(8).toString("hex");
}

export function attempt(
  front: string,
  options: {
    readonly record: RecordLog;
    readonly path: string;
    readonly body?: string;
    readonly deadlineMs: number;
  },
): Promise<Attempt> {
  const [host, port] = front.split(":");
  const sentAt = performance.now();
  const method = options.body === undefined ? "GET" : "POST";
  options.record.add(`client: ${method} ${options.path} to ${front}`);
  return new Promise((resolve) => {
    function settle(status: number | undefined, body: string): void {
      clearTimeout(timer);
      options.record.add(
        `client: ${options.path} gets ${status ?? "no response"} ${body}`,
      );
      resolve({ front, sentAt, answeredAt: performance.now(), status, body });
    }
    const outgoing = request({
      host,
      port,
      method,
      path: options.path,
      agent: false,
      headers: {
        host: "jobs.example",
        "content-type": "application/json",
        "coltsfootreach-deadline-ms": String(options.deadlineMs),
      },
    });
    const timer = setTimeout(() => {
      outgoing.destroy(new Error("no response in time"));
    }, options.deadlineMs);
    outgoing.on("response", (response) => {
      let body = "";
      response.setEncoding("utf8");
      response.on("data", (chunk) => body += chunk);
      response.on("end", () => settle(response.statusCode, body));
      response.on("error", () => settle(undefined, ""));
    });
    outgoing.on("error", () => settle(undefined, ""));
    outgoing.end(options.body);
  });
}

/** Submits a job; sends it again after no response, 502 or 504. */
export async function submitJob(
  options: JobOptions,
): Promise<{ readonly id: string; readonly attempts: readonly Attempt[] }> {
  const id = newId();
  const body = JSON.stringify({
    spec: `work-${id}`,
    best_effort: true,
    steps: options.steps,
  });
  const attempts: Attempt[] = [];
  for (const front of options.fronts) {
    if (attempts.length > 0) {
      await new Promise((resolve) => setTimeout(resolve, RESEND_MS));
    }
    const result = await attempt(front, {
      record: options.record,
      path: `/${options.queue}/${id}`,
      body,
      deadlineMs: options.deadlineMs,
    });
    attempts.push(result);
    const { status } = result;
    const isRetried = status === undefined || status === 502 || status === 504;
    if (!isRetried) break;
  }
  return { id, attempts };
}
