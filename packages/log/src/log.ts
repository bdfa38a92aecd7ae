/**
 * A process's log: one JSON object a line, with who wrote it and which run of
 * the process it was. Lines go to standard error unless told otherwise.
 */
import process from "node:process";
import { type ConsolaReporter, createConsola, LogLevels } from "consola/basic";
import { createRedaction, type Redaction } from "./redact.ts";

export type Level = "error" | "warn" | "info" | "debug";

/** What a line may say besides its message. */
export interface LogFields {
  /** The job's name across tenants. */
  readonly job?: string | undefined;
  readonly index?: number | undefined;
  /** Run of the process; goes before the one that the log was made with. */
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
  /** Durations and counts by name. */
  readonly figures?: Readonly<Record<string, number>> | undefined;
}

export interface Log {
  error(message: string, fields?: LogFields): void;
  warn(message: string, fields?: LogFields): void;
  info(message: string, fields?: LogFields): void;
  debug(message: string, fields?: LogFields): void;
  /** A log that adds the given fields to each of its lines. */
  with(fields: LogFields): Log;
}

export interface LogOptions {
  readonly role: string;
  readonly name: string;
  readonly incarnation: string;
  readonly level: Level;
  /** Texts that must never be written, such as the management token. */
  readonly secrets?: readonly string[] | undefined;
  /** Takes each line, its line break included. */
  readonly write?: ((line: string) => void) | undefined;
}

export function createLog(options: LogOptions): Log {
  const consola = createConsola({
    level: LogLevels[options.level],
    reporters: [createReporter(options)],
    throttle: 0,
  });

  function logWith(common: LogFields): Log {
    return {
      error: (message, fields) =>
        consola.error(message, { ...common, ...fields }),
      warn: (message, fields) =>
        consola.warn(message, { ...common, ...fields }),
      info: (message, fields) =>
        consola.info(message, { ...common, ...fields }),
      debug: (message, fields) =>
        consola.debug(message, { ...common, ...fields }),
      with: (fields) => logWith({ ...common, ...fields }),
    };
  }

  return logWith({});
}

function createReporter(options: LogOptions): ConsolaReporter {
  const { role, name, incarnation } = options;
  const redaction = createRedaction(options.secrets ?? []);
  const write = options.write ?? writeToStandardError;
  return {
    log(entry) {
      const [message, fields] = entry.args as [string, LogFields?];
      write(formatLine(redaction, {
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

interface Line extends Omit<LogFields, "incarnation"> {
  readonly time: string;
  readonly level: string;
  readonly role: string;
  readonly name: string;
  readonly incarnation: string;
  readonly message: string;
}

function formatLine(redaction: Redaction, line: Line): string {
  const { time, level, role, name, incarnation, message, ...fields } = line;
  const ordered = { time, level, role, name, incarnation, message, ...fields };
  return `${JSON.stringify(redaction.redact(ordered))}\n`;
}

function writeToStandardError(line: string): void {
  process.stderr.write(line);
}
