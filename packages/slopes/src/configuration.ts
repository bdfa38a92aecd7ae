/**
 * Configuration by the size of the inventory: bytes of the document, time to
 * parse it, and the part that changes with an edit; and the cost of pushing the
 * sides' excerpt by their number.
 */
import { Packr } from "msgpackr";
import {
  createEstateParser,
  excerptForSides,
  formatEstate,
  parseEstate,
} from "@coltsfootreach/inventory";
import { createEstate } from "./made_up.ts";
import { createSeries, type Series } from "./series.ts";
import { median } from "./watched.ts";

const WORKERS = [100, 1000, 5000, 20_000];

const SIDES = [100, 1000, 3000];

const ROUNDS = 3;

function timeOf(run: () => void): number {
  const startedAtMs = performance.now();
  run();
  return performance.now() - startedAtMs;
}

function repeat(measure: () => number): number {
  return median(Array.from({ length: ROUNDS }, measure));
}

/** Milliseconds to encode a frame with the excerpt for each side. */
function measurePush(sides: number, text: string): number {
  const packr = new Packr({ useRecords: true });
  return timeOf(() => {
    for (let side = 0; side < sides; side++) {
      const configuration = { version: side, text };
      packr.pack({ messages: [{ kind: "configuration", configuration }] });
    }
  });
}

/** Milliseconds of a daemon to read a version that changes one worker. */
async function measureEdit(workers: number): Promise<number> {
  const parser = createEstateParser();
  const estate = createEstate(workers);
  const first = { version: 1, text: formatEstate(estate) };
  await parser.prepare(first);
  parser.parse(first)._unsafeUnwrap();
  const [edited, ...others] = estate.workers;
  const changed = [{ ...edited!, cores: edited!.cores + 1 }, ...others];
  const text = formatEstate({ ...estate, workers: changed });
  const startedAtMs = performance.now();
  await parser.prepare({ version: 2, text });
  parser.parse({ version: 2, text })._unsafeUnwrap();
  return performance.now() - startedAtMs;
}

async function measureEdits(): Promise<Series> {
  const points = [];
  for (const workers of WORKERS) {
    const rounds: number[] = [];
    for (let round = 0; round < ROUNDS; round++) {
      rounds.push(await measureEdit(workers));
    }
    points.push({ x: workers, y: median(rounds) });
  }
  return createSeries({
    name: "configuration.edit",
    y: "time of a daemon to read an edit of one worker, ms",
    x: "workers",
    subject: "core",
    points,
  });
}

export async function measureConfiguration(): Promise<readonly Series[]> {
  const texts = WORKERS.map((workers) => ({
    workers,
    text: formatEstate(createEstate(workers)),
  }));
  const excerpt = excerptForSides(createEstate(WORKERS[0]!));
  const subject = "core" as const;
  const x = "workers";
  return [
    createSeries({
      name: "configuration.bytes",
      y: "bytes of the document",
      x,
      subject,
      points: texts.map(({ workers, text }) => ({
        x: workers,
        y: text.length,
      })),
    }),
    createSeries({
      name: "configuration.parse",
      y: "time to parse the document, ms",
      x,
      subject,
      points: texts.map(({ workers, text }) => ({
        x: workers,
        y: repeat(() =>
          timeOf(() => parseEstate({ version: 1, text })._unsafeUnwrap())
        ),
      })),
    }),
    await measureEdits(),
    createSeries({
      name: "configuration.push.bytes",
      y: "bytes of the sides' excerpt over all sides",
      x: "sides",
      subject,
      points: SIDES.map((sides) => ({ x: sides, y: sides * excerpt.length })),
    }),
    createSeries({
      name: "configuration.push.time",
      y: "time to encode the excerpt for all sides, ms",
      x: "sides",
      subject,
      points: SIDES.map((sides) => ({
        x: sides,
        y: repeat(() => measurePush(sides, excerpt)),
      })),
    }),
  ];
}
