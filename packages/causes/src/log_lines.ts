/** Reads the lines of a saved log that tell what became of jobs. */

/** What the log of an entry says about one answered job. */
export interface AnsweredJob {
  readonly job: string;
  readonly queue: string;
  /** Kind of the answer, with its reason. */
  readonly answer: string;
  /** Time after the objective at which the answer was given. */
  readonly lateMs: number;
  /** Time until the first task was offered, or until the answer. */
  readonly waitMs: number;
  /** Offers of all tasks. */
  readonly runs: number;
  readonly failures: number;
  /** Figures of the submission; undefined if its line is missing. */
  readonly submission: Submission | undefined;
  /** The entry predicted that the job would wait too long. */
  readonly isWaitPredicted: boolean;
}

export interface Submission {
  readonly tasks: number;
  /** Time that the caller is estimated to have waited before. */
  readonly ageMs: number;
}

export interface LogSummary {
  readonly answered: readonly AnsweredJob[];
  /** Queues of the jobs that callers abandoned. */
  readonly abandoned: readonly string[];
  /** Lines that the entries dropped to limit their rate. */
  readonly droppedLines: number;
}

/** Limits in seconds on the time before each line. */
export interface TimeRange {
  readonly from: number;
  readonly to: number;
}

interface LogLine {
  readonly name: string;
  readonly message: string;
  readonly job: string;
  readonly queue: string;
  readonly reason: string;
  readonly figures: Readonly<Record<string, number>>;
}

const ALL_TIMES: TimeRange = { from: -Infinity, to: Infinity };

export function readLog(
  lines: Iterable<string>,
  range: TimeRange = ALL_TIMES,
): LogSummary {
  const submissions = new Map<string, Submission>();
  const predicted = new Set<string>();
  const answered: AnsweredJob[] = [];
  const abandoned: string[] = [];
  let droppedLines = 0;
  for (const text of lines) {
    const line = parseLine(text, range);
    if (line === undefined) continue;
    const { message, figures, queue, job } = line;
    const key = `${line.name}/${job}`;
    if (message === "job submitted") {
      const { tasks = 0, ageMs = 0 } = figures;
      submissions.set(key, { tasks, ageMs });
    } else if (message.startsWith("refusing job: predicted")) {
      predicted.add(key);
    } else if (message === "caller abandoned job") {
      abandoned.push(queue);
    } else if (message === "job answered") {
      answered.push({
        job,
        queue,
        answer: line.reason,
        lateMs: figures.lateMs ?? 0,
        waitMs: figures.waitMs ?? 0,
        runs: figures.runs ?? 0,
        failures: figures.failures ?? 0,
        submission: submissions.get(key),
        isWaitPredicted: predicted.has(key),
      });
    } else if (message.startsWith("decision log rate limit exceeded")) {
      droppedLines += figures.lines ?? 0;
    }
  }
  return { answered, abandoned, droppedLines };
}

/** Returns undefined for text that is no log line or lies out of the range. */
function parseLine(text: string, range: TimeRange): LogLine | undefined {
  const start = text.indexOf("{");
  if (start < 0) return undefined;
  const seconds = Number.parseFloat(text.slice(0, start));
  const isLimited = range !== ALL_TIMES;
  const isInRange = seconds >= range.from && seconds < range.to;
  if (isLimited && !isInRange) return undefined;
  const fields = parseObject(text.slice(start));
  if (typeof fields?.message !== "string") return undefined;
  return {
    name: textOf(fields.name),
    message: fields.message,
    job: textOf(fields.job),
    queue: textOf(fields.queue),
    reason: textOf(fields.reason),
    figures: (fields.figures ?? {}) as Readonly<Record<string, number>>,
  };
}

/** Saved logs may hold lines that were cut off; these are passed over. */
function parseObject(
  text: string,
): Readonly<Record<string, unknown>> | undefined {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}

function textOf(value: unknown): string {
  return typeof value === "string" ? value : "";
}
