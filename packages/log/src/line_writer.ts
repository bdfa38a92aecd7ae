/**
 * Writes lines to a file descriptor without blocking. Lines are buffered
 * briefly and written asynchronously. If the buffer is full, lines are dropped;
 * the next accepted line is preceded by a notice with the number of dropped
 * lines.
 */
import { write, writeSync } from "node:fs";
import process from "node:process";

/** Time for which lines are batched into one write. */
const FLUSH_DELAY_MS = 100;

/** Limits the memory used while the reader is slow. */
const DEFAULT_MAX_BUFFERED_CHARS = 1024 * 1024;

export interface LineWriterOptions {
  readonly descriptor: number;
  /** Buffer limit; defaults to 1,048,576 characters. */
  readonly maxBufferedChars?: number | undefined;
}

export interface LineWriter {
  /** Queues one line, which must include its line break. */
  write(line: string): void;
}

export function openLineWriter(options: LineWriterOptions): LineWriter {
  const { descriptor } = options;
  const maxBufferedChars = options.maxBufferedChars ??
    DEFAULT_MAX_BUFFERED_CHARS;
  let buffered: string[] = [];
  let bufferedChars = 0;
  let droppedLines = 0;
  let isWriting = false;
  let timer: NodeJS.Timeout | undefined;

  function takeBuffered(): string {
    const text = buffered.join("");
    buffered = [];
    bufferedChars = 0;
    return text;
  }

  function flush(): void {
    timer = undefined;
    if (isWriting || buffered.length === 0) return;
    writeAll(Buffer.from(takeBuffered()));
  }

  function writeAll(bytes: Buffer): void {
    isWriting = true;
    write(descriptor, bytes, (error, written) => {
      isWriting = false;
      // If the reader has closed the pipe, discard the batch and keep running.
      if (error !== null && error.code !== "EAGAIN") return scheduleFlush();
      const remaining = bytes.subarray(error === null ? written : 0);
      if (remaining.length > 0) {
        setTimeout(() => writeAll(remaining), FLUSH_DELAY_MS);
      } else scheduleFlush();
    });
  }

  function scheduleFlush(): void {
    if (timer !== undefined || buffered.length === 0) return;
    timer = setTimeout(flush, FLUSH_DELAY_MS);
    timer.unref();
  }

  process.on("exit", () => {
    if (buffered.length === 0) return;
    try {
      writeSync(descriptor, takeBuffered());
    } catch {
      // The reader is gone and the process is exiting.
    }
  });

  return {
    write(line) {
      if (bufferedChars + line.length > maxBufferedChars) {
        droppedLines += 1;
        return;
      }
      if (droppedLines > 0) {
        const dropNotice =
          `{"message":"log lines dropped","lines":${droppedLines}}\n`;
        droppedLines = 0;
        buffered.push(dropNotice);
      }
      buffered.push(line);
      bufferedChars += line.length;
      scheduleFlush();
    },
  };
}
