/** Heap of an entry for each live job, kept job, tenant and side. */
import { mkdtempSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { startChild } from "@coltsfootreach/fleet";
import { createSeries, type Series } from "./series.ts";

interface Kind {
  readonly kind: string;
  readonly x: string;
  readonly counts: readonly number[];
}

const KINDS: readonly Kind[] = [
  { kind: "live", x: "live jobs of 3 tasks", counts: [1000, 5000, 20_000] },
  { kind: "kept", x: "kept jobs of 3 tasks", counts: [1000, 5000, 20_000] },
  { kind: "tenants", x: "tenants", counts: [10, 100, 300] },
  { kind: "sides", x: "sides, without streams", counts: [100, 1000, 3000] },
];

const MAIN = fileURLToPath(new URL("./memory_main.ts", import.meta.url));

async function measureHeap(kind: string, count: number): Promise<number> {
  const child = startChild({
    name: `memory-${kind}-${count}`,
    logFile: join(mkdtempSync(join(tmpdir(), "coltsfootreach-heap-")), "log"),
    args: [
      "--expose-gc",
      "--import=tsx",
      MAIN,
      `--kind=${kind}`,
      `--count=${count}`,
    ],
  });
  const { bytes } = JSON.parse(await child.firstLine());
  await child.ended();
  return bytes;
}

export async function measureMemory(): Promise<readonly Series[]> {
  const all: Series[] = [];
  for (const { kind, x, counts } of KINDS) {
    const points = await Promise.all(
      counts.map(async (count) => ({
        x: count,
        y: await measureHeap(kind, count),
      })),
    );
    all.push(createSeries({
      name: `entry.heap.${kind}`,
      y: "heap of the entry's core, bytes",
      x,
      subject: "core",
      points,
    }));
  }
  return all;
}
