/** A child process that is started, signalled and started again. */
import { type ChildProcess, spawn } from "node:child_process";
import { once } from "node:events";
import { createWriteStream } from "node:fs";
import process from "node:process";

export interface Command {
  readonly name: string;
  readonly args: readonly string[];
  /** File that takes its standard error. */
  readonly logFile: string;
  /** Its log also takes standard output, which nobody reads otherwise. */
  readonly logsOutput?: boolean;
  /** Variables beside those of this process. */
  readonly variables?: Readonly<Record<string, string>>;
}

export interface Child {
  readonly name: string;
  pid(): number | undefined;
  isRunning(): boolean;
  /** The first line it writes to standard output. */
  firstLine(): Promise<string>;
  signal(signal: NodeJS.Signals): void;
  /** Starts it again after it has ended. */
  restart(): void;
  /** Resolves with its exit code once it has ended. */
  ended(): Promise<number | null>;
}

export function startChild(command: Command): Child {
  let child = start();

  function start(): ChildProcess {
    const started = spawn(process.execPath, command.args, {
      stdio: ["ignore", "pipe", "pipe"],
      env: { ...process.env, ...command.variables },
    });
    const log = createWriteStream(command.logFile, { flags: "a" });
    started.stderr!.pipe(log);
    if (command.logsOutput) started.stdout!.pipe(log);
    log.write(`{"message":"started","pid":${started.pid}}\n`);
    return started;
  }

  function isRunning(): boolean {
    return child.exitCode === null && child.signalCode === null;
  }

  return {
    name: command.name,
    pid: () => child.pid,
    isRunning,
    async firstLine() {
      let text = "";
      for await (const chunk of child.stdout!) {
        text += String(chunk);
        const end = text.indexOf("\n");
        if (end >= 0) return text.slice(0, end);
      }
      throw new Error(`${command.name} ended before it wrote a line`);
    },
    signal(signal) {
      if (isRunning()) child.kill(signal);
    },
    restart() {
      if (!isRunning()) child = start();
    },
    async ended() {
      // A restart must not change whose end is reported.
      const own = child;
      if (isRunning()) await once(own, "exit");
      return own.exitCode;
    },
  };
}
