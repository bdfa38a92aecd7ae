/**
 * What a command gives back: a report for people and for programs, or one of
 * the errors below. The exit code follows from it.
 */
import type { Result } from "neverthrow";
import type { InvalidFile, StoreUnavailable } from "@coltsfootreach/errors";

/** The command did what was asked. */
export const EXIT_OK = 0;
/** Refused, in conflict or failed. */
export const EXIT_FAILED = 1;
/** The command line itself is wrong. */
export const EXIT_USAGE = 2;

export type ExitCode =
  | typeof EXIT_OK
  | typeof EXIT_FAILED
  | typeof EXIT_USAGE;

export interface Report {
  /** For people; no line break at the end. */
  readonly text: string;
  /** For programs; written as JSON. */
  readonly data: unknown;
  readonly exitCode: ExitCode;
}

/** The command line asks for something that makes no sense. */
export class UsageError extends Error {
  override readonly name = "UsageError";
}

/** The command could not be carried out. */
export class CommandFailed extends Error {
  override readonly name = "CommandFailed";
}

export type CommandError =
  | UsageError
  | CommandFailed
  | InvalidFile
  | StoreUnavailable;

export type CommandResult = Result<Report, CommandError>;

export function succeed(text: string, data: unknown): Report {
  return { text, data, exitCode: EXIT_OK };
}

export function fail(text: string, data: unknown): Report {
  return { text, data, exitCode: EXIT_FAILED };
}

export function exitCodeOf(error: CommandError): ExitCode {
  return error instanceof UsageError ? EXIT_USAGE : EXIT_FAILED;
}
