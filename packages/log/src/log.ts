/**
 * Structured log of a process: one JSON object per line, with the role, name
 * and incarnation of the process. Lines go to standard error by default.
 */
import process from "node:process";
import { type ConsolaReporter, createConsola, LogLevels } from "consola/basic";
import { createRedactor, type Redactor } from "./redact.ts";

export type Level = "error" | "warn" | "info" | "debug";

/** Optional fields of a log line. */
export interface LogFields {
  /** Job identifier that is unique across tenants. */
  readonly job?: string | undefined;
  readonly index?: number | undefined;
  /** Incarnation of the process; overrides the one set in `LogOptions`. */
  readonly incarnation?: string | undefined;
  readonly tenant?: string | undefined;
  readonly class?: string | undefined;
  readonly side?: string | undefined;
  readonly server?: string | undefined;
  readonly entry?: string | undefined;
  readonly address?: string | undefined;
  readonly configurationVersion?: number | undefined;
  readonly tableVersion?: number | undefined;
  readonly act?: string | undefined;
  readonly verdict?: string | undefined;
  readonly reason?: string | undefined;
  readonly error?: unknown;
  /** Named durations and counts. */
  readonly figures?: Readonly<Record<string, number>> | undefined;
}

export interface Log {
  error(message: string, fields?: LogFields): void;
  warn(message: string, fields?: LogFields): void;
  info(message: string, fields?: LogFields): void;
  debug(message: string, fields?: LogFields): void;
  /** Returns a child log that adds the given fields to each line. */
  with(fields: LogFields): Log;
}

export interface LogOptions {
  readonly role: string;
  readonly name: string;
  readonly incarnation: string;
  readonly level: Level;
  /** Strings to redact from every line, such as the management token. */
  readonly secrets?: readonly string[] | undefined;
  /** Receives each line, including its line break. */
  readonly write?: ((line: string) => void) | undefined;
}

export function createLog(options: LogOptions): Log {
  const consola = createConsola({
    level: LogLevels[options.level],
    reporters: [createReporter(options)],
    throttle: 0,
  });

  function createChildLog(inheritedFields: LogFields): Log {
    return {
      error: (message, fields) =>
        consola.error(message, { ...inheritedFields, ...fields }),
      warn: (message, fields) =>
        consola.warn(message, { ...inheritedFields, ...fields }),
      info: (message, fields) =>
        consola.info(message, { ...inheritedFields, ...fields }),
      debug: (message, fields) =>
        consola.debug(message, { ...inheritedFields, ...fields }),
      with: (fields) => createChildLog({ ...inheritedFields, ...fields }),
    };
  }

  return createChildLog({});
}

function createReporter(options: LogOptions): ConsolaReporter {
  const { role, name, incarnation } = options;
  const redactor = createRedactor(options.secrets ?? []);
  const write = options.write ?? writeToStderr;
  return {
    log(entry) {
      const [message, fields] = entry.args as [string, LogFields?];
      write(formatLine(redactor, {
        ...fields,
        time: entry.date.toISOString(),
        level: entry.type,
        role,
        name,
        incarnation: fields?.incarnation ?? incarnation,
        message,
      }));
    },
  };
}

interface LogRecord extends Omit<LogFields, "incarnation"> {
  readonly time: string;
  readonly level: string;
  readonly role: string;
  readonly name: string;
  readonly incarnation: string;
  readonly message: string;
}

function formatLine(redactor: Redactor, line: LogRecord): string {
  const { time, level, role, name, incarnation, message, ...fields } = line;
  const record = { time, level, role, name, incarnation, message, ...fields };
  return `${JSON.stringify(redactor.redact(record))}\n`;
}

function writeToStderr(line: string): void {
  process.stderr.write(line);
}
