/**
 * Imports machines from a CSV export of an asset register. One row is one
 * worker, with the backend server that stands on it if there is one. Columns
 * that the inventory has no use for are passed over.
 */
import { parse } from "csv-parse/sync";
import { err, ok, type Result } from "neverthrow";
import { z } from "zod";
import { InvalidFile } from "@coltsfootreach/errors";
import { checkDocument, size, WHOLE_DOCUMENT } from "@coltsfootreach/settings";
import type { DataCentre, ExpectedServer, Worker } from "@coltsfootreach/types";

/** The part of an estate that an asset register describes. */
export interface Machines {
  readonly dataCentres: readonly DataCentre[];
  readonly workers: readonly Worker[];
  readonly servers: readonly ExpectedServer[];
}

const DEFAULT_DELAY_MS = 1;
const BYTES_PER_MB = 1_048_576;
/** The header is line 1, so the first row of data is line 2. */
const FIRST_ROW_LINE = 2;

const count = () =>
  z.string().regex(/^\d+$/, "must be a whole number")
    .transform(Number);
/** An empty or absent cell counts as 0. */
const optionalCount = () =>
  z.string().regex(/^\d*$/, "must be a whole number").default("")
    .transform(Number);
const text = () => z.string().min(1, "must not be empty");

const rowSchema = z.object({
  data_centre: text(),
  region: text(),
  rack: text(),
  worker: text(),
  cores: count(),
  memory: size(),
  accelerators: optionalCount(),
  server: z.string().default(""),
  slots: optionalCount(),
  connections: optionalCount(),
});

type Row = z.output<typeof rowSchema>;

/**
 * Reads the rows of a register. Data centres that are `known` keep their
 * delays, which a register does not hold; others get one of 1 ms.
 */
export function importRegister(
  { file, csv, known }: {
    readonly file: string;
    readonly csv: string;
    readonly known: readonly DataCentre[];
  },
): Result<Machines, InvalidFile> {
  return parseRows(file, csv)
    .andThen((rows) => checkRows(file, rows))
    .map((rows) => ({
      dataCentres: collectDataCentres(rows, known),
      workers: rows.map(toWorker),
      servers: rows.filter((row) => row.server !== "").map(toServer),
    }));
}

function parseRows(
  file: string,
  csv: string,
): Result<readonly unknown[], InvalidFile> {
  try {
    return ok(parse(csv, {
      bom: true,
      columns: true,
      skip_empty_lines: true,
      trim: true,
    }));
  } catch (error) {
    const reason = error instanceof Error ? error.message : String(error);
    return err(new InvalidFile(file, WHOLE_DOCUMENT, reason));
  }
}

function checkRows(
  file: string,
  rows: readonly unknown[],
): Result<readonly Row[], InvalidFile> {
  const checked: Row[] = [];
  for (const [position, row] of rows.entries()) {
    const source = `${file}: line ${position + FIRST_ROW_LINE}`;
    const result = checkDocument(source, row, rowSchema);
    if (result.isErr()) return err(result.error);
    checked.push(result.value);
  }
  return ok(checked);
}

function collectDataCentres(
  rows: readonly Row[],
  known: readonly DataCentre[],
): readonly DataCentre[] {
  const found = new Map<string, DataCentre>();
  for (const { data_centre: name, region } of rows) {
    const delayMs = known.find((item) => item.name === name)?.delayMs ??
      DEFAULT_DELAY_MS;
    found.set(name, { name, region, delayMs });
  }
  return [...found.values()];
}

function toWorker(row: Row): Worker {
  return {
    name: row.worker,
    dataCentre: row.data_centre,
    rack: row.rack,
    cores: row.cores,
    memoryMb: row.memory / BYTES_PER_MB,
    accelerators: row.accelerators,
  };
}

function toServer(row: Row): ExpectedServer {
  return {
    name: row.server,
    worker: row.worker,
    slots: row.slots,
    connections: row.connections,
  };
}
