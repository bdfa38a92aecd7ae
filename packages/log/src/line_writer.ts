/**
 * Writes lines to a file descriptor without ever waiting for it: lines are
 * gathered for a moment, written in the background, and left out while too much
 * is unwritten. The next line after that says how many are missing.
 */
import { write, writeSync } from "node:fs";
import process from "node:process";

/** Time for which lines are gathered into one write. */
const GATHER_MS = 100;

/** Most text that may wait for a slow reader. */
const MAX_WAITING_BYTES = 1024 * 1024;

export interface LineWriterOptions {
  readonly descriptor: number;
  /** Most text that may wait, in characters; 1 MiB without it. */
  readonly maxWaiting?: number | undefined;
}

export interface LineWriter {
  /** Takes one line, its line break included. */
  write(line: string): void;
}

export function openLineWriter(options: LineWriterOptions): LineWriter {
  const { descriptor } = options;
  const maxWaiting = options.maxWaiting ?? MAX_WAITING_BYTES;
  let waiting: string[] = [];
  let waitingLength = 0;
  let dropped = 0;
  let isWriting = false;
  let timer: NodeJS.Timeout | undefined;

  function take(): string {
    const text = waiting.join("");
    waiting = [];
    waitingLength = 0;
    return text;
  }

  function flush(): void {
    timer = undefined;
    if (isWriting || waiting.length === 0) return;
    writeAll(Buffer.from(take()));
  }

  function writeAll(bytes: Buffer): void {
    isWriting = true;
    write(descriptor, bytes, (error, written) => {
      isWriting = false;
      // A reader that is gone cannot be told, and must not end the process.
      if (error !== null && error.code !== "EAGAIN") return schedule();
      const rest = bytes.subarray(error === null ? written : 0);
      if (rest.length > 0) setTimeout(() => writeAll(rest), GATHER_MS);
      else schedule();
    });
  }

  function schedule(): void {
    if (timer !== undefined || waiting.length === 0) return;
    timer = setTimeout(flush, GATHER_MS);
    timer.unref();
  }

  process.on("exit", () => {
    if (waiting.length === 0) return;
    try {
      writeSync(descriptor, take());
    } catch {
      // Nobody reads any more, and the process ends.
    }
  });

  return {
    write(line) {
      if (waitingLength + line.length > maxWaiting) {
        dropped += 1;
        return;
      }
      if (dropped > 0) {
        const note = `{"message":"log lines dropped","lines":${dropped}}\n`;
        dropped = 0;
        waiting.push(note);
      }
      waiting.push(line);
      waitingLength += line.length;
      schedule();
    },
  };
}
