/** Record of what was sent, answered and run, in order of time. */
import { writeFileSync } from "node:fs";

export interface RecordLog {
  add(line: string): void;
  write(): void;
  /** Milliseconds since the record began. */
  nowMs(): number;
}

export function createRecord(file: string): RecordLog {
  const startedAt = performance.now();
  const lines: string[] = [];
  const nowMs = () => performance.now() - startedAt;
  return {
    nowMs,
    add(line) {
      lines.push(`${(nowMs() / 1000).toFixed(3).padStart(9)} ${line}`);
    },
    write: () => writeFileSync(file, lines.join("\n") + "\n"),
  };
}
