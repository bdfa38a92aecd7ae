/** Heap of an entry for each live job, kept job, tenant and side. */
import { mkdtempSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { startChild } from "@coltsfootreach/fleet";
import { createSeries, type Series } from "./series.ts";

interface Kind {
  readonly name: string;
  readonly kind: string;
  readonly tasks: number;
  readonly x: string;
  readonly counts: readonly number[];
}

const RECORDS = [1000, 5000, 20_000];

const FEW_RECORDS = [300, 1000, 3000];

const KINDS: readonly Kind[] = [
  {
    name: "entry.heap.live",
    kind: "live",
    tasks: 3,
    x: "live jobs of 3 tasks",
    counts: RECORDS,
  },
  {
    name: "entry.heap.live30",
    kind: "live",
    tasks: 30,
    x: "live jobs of 30 tasks",
    counts: FEW_RECORDS,
  },
  {
    name: "entry.heap.kept",
    kind: "kept",
    tasks: 3,
    x: "kept jobs of 3 tasks",
    counts: RECORDS,
  },
  {
    name: "entry.heap.kept30",
    kind: "kept",
    tasks: 30,
    x: "kept jobs of 30 tasks",
    counts: FEW_RECORDS,
  },
  {
    name: "entry.heap.tenants",
    kind: "tenants",
    tasks: 1,
    x: "tenants",
    counts: [10, 100, 300],
  },
  {
    name: "entry.heap.sides",
    kind: "sides",
    tasks: 1,
    x: "sides, without streams",
    counts: [100, 1000, 3000],
  },
  {
    name: "side.heap.evidence",
    kind: "evidence",
    tasks: 1,
    x: "jobs of which the side ran a task",
    counts: RECORDS,
  },
];

const MAIN = fileURLToPath(new URL("./memory_main.ts", import.meta.url));

async function measureHeap(
  { kind, tasks }: Kind,
  count: number,
): Promise<number> {
  const child = startChild({
    name: `memory-${kind}-${tasks}-${count}`,
    logFile: join(mkdtempSync(join(tmpdir(), "coltsfootreach-heap-")), "log"),
    args: [
      "--expose-gc",
      "--import=tsx",
      MAIN,
      `--kind=${kind}`,
      `--count=${count}`,
      `--tasks=${tasks}`,
    ],
  });
  const { bytes } = JSON.parse(await child.firstLine());
  await child.ended();
  return bytes;
}

export async function measureMemory(): Promise<readonly Series[]> {
  const all: Series[] = [];
  for (const one of KINDS) {
    const { name, x, counts } = one;
    const points = await Promise.all(
      counts.map(async (count) => ({
        x: count,
        y: await measureHeap(one, count),
      })),
    );
    all.push(createSeries({
      name,
      y: "heap, bytes",
      x,
      subject: "core",
      points,
    }));
  }
  return all;
}
