/** `npm run causes -- FILE`: counts the causes in a saved log by queue. */
import { readFileSync } from "node:fs";
import process from "node:process";
import { cac } from "cac";
import { countCauses } from "./cause.ts";
import { readLog } from "./log_lines.ts";

interface Flags {
  readonly from?: number;
  readonly to?: number;
}

function printCauses(file: string, { from, to }: Flags): void {
  const lines = readFileSync(file, "utf8").split("\n");
  const isLimited = from !== undefined || to !== undefined;
  const range = { from: from ?? -Infinity, to: to ?? Infinity };
  const summary = readLog(lines, isLimited ? range : undefined);
  const write = (text: string) => process.stdout.write(`${text}\n`);
  for (const [queue, counts] of countCauses(summary.answered)) {
    const sorted = [...counts].sort(([, left], [, right]) => right - left);
    const causes = sorted.map(([cause, count]) => `${cause} ${count}`);
    write(`${queue}: ${causes.join(", ")}`);
  }
  write(
    `${summary.answered.length} jobs answered, ` +
      `${summary.abandoned.length} abandoned by their callers; ` +
      `${summary.droppedLines} log lines were dropped`,
  );
}

const cli = cac("causes");
cli.command("<file>", "Count the causes of jobs not answered in time")
  .option("--from <s>", "First second")
  .option("--to <s>", "Second after the last")
  .action(printCauses);
cli.help();
cli.parse();
