/** Validates request bodies of callers and converts them to jobs. */
import { z } from "zod";
import { err, ok, type Result } from "neverthrow";
import type { Job, Refusal } from "@coltsfootreach/types";

export interface JobLimits {
  readonly tasks: number;
  /** Maximum length of a key in characters. */
  readonly keyLength: number;
  /** Returns the deadline of a class in milliseconds; undefined if unknown. */
  deadlineMsOf(className: string): number | undefined;
}

/** Maximum deadline that a caller may request. */
const MAX_DEADLINE_MS = 600_000;

/** Run time assumed for a task that declares none. */
const DEFAULT_RUN_TIME_MS = 250;

const SINGLE_LINE = /^[^\n\r]+$/;

const sizeSchema = z.strictObject({
  cores: z.number().min(0).default(1),
  memoryMb: z.number().min(0).default(0),
  accelerators: z.number().min(0).default(0),
});

const taskSchema = z.strictObject({
  body: z.string(),
  size: sizeSchema.prefault({}),
  declaredMs: z.number().positive().default(DEFAULT_RUN_TIME_MS),
  idempotent: z.boolean().default(false),
});

function createJobSchema(limits: JobLimits) {
  return z.strictObject({
    key: z.string().max(limits.keyLength).regex(
      SINGLE_LINE,
      "must be one line of text",
    ),
    class: z.string().regex(SINGLE_LINE, "must be one line of text"),
    deadlineMs: z.number().positive().max(MAX_DEADLINE_MS).optional(),
    firstSubmittedAtMs: z.number().positive().optional(),
    tasks: z.array(taskSchema).min(1).max(limits.tasks),
  });
}

export function createJobParser(limits: JobLimits) {
  const schema = createJobSchema(limits);

  return function parseJob(
    tenant: string,
    body: unknown,
  ): Result<Job, Refusal> {
    const parsed = schema.safeParse(body);
    if (!parsed.success) return err(malformed(describeError(parsed.error)));
    const { deadlineMs, ...job } = parsed.data;
    const classDeadlineMs = limits.deadlineMsOf(job.class);
    if (classDeadlineMs === undefined) return err(unknownClass(job.class));
    return ok({ ...job, tenant, deadlineMs: deadlineMs ?? classDeadlineMs });
  };
}

export function malformed(reason: string): Refusal {
  return { code: "malformed", verdict: "notRun", reason };
}

function unknownClass(name: string): Refusal {
  return {
    code: "unknownClass",
    verdict: "notRun",
    reason: `class ${name} is not in the configuration`,
  };
}

function describeError(error: z.ZodError): string {
  const issue = error.issues[0]!;
  const path = issue.path.join(".");
  return path === "" ? issue.message : `${path}: ${issue.message}`;
}
