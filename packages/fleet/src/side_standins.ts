/** Many stand-in sides in a few processes, for load and sizes. */
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { type Child, startChild } from "./process.ts";

const SIDE_MAIN = fileURLToPath(
  new URL("../../standin/src/side/side_main.ts", import.meta.url),
);

export interface SideStandinsOptions {
  readonly folder: string;
  /** Link addresses of entries. */
  readonly entries: readonly string[];
  readonly count: number;
  readonly processes: number;
  readonly slots: number;
  readonly classes: readonly string[];
}

/** Resolves once every process has opened its sides. */
export async function startSideStandins(
  options: SideStandinsOptions,
): Promise<readonly Child[]> {
  const perProcess = Math.ceil(options.count / options.processes);
  const children: Child[] = [];
  for (let first = 0; first < options.count; first += perProcess) {
    const count = Math.min(perProcess, options.count - first);
    const name = `standin-sides-${first}`;
    children.push(startChild({
      name,
      logFile: join(options.folder, `${name}.log`),
      args: [
        "--import=tsx",
        SIDE_MAIN,
        `--count=${count}`,
        `--name=${name}`,
        `--entries=${options.entries.join(",")}`,
        `--classes=${options.classes.join(",")}`,
        `--slots=${options.slots}`,
      ],
    }));
  }
  await Promise.all(children.map((child) => child.firstLine()));
  return children;
}

export async function stopChildren(children: readonly Child[]): Promise<void> {
  children.forEach((child) => child.signal("SIGTERM"));
  await Promise.all(children.map((child) => child.ended()));
}
