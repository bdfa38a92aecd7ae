/**
 * Imports machines from a CSV export of an asset register. Each row describes
 * one worker and, optionally, the backend server on it. Columns that the
 * inventory does not use are ignored.
 */
import { parse } from "csv-parse/sync";
import { err, ok, type Result } from "neverthrow";
import { z } from "zod";
import { InvalidFile } from "@coltsfootreach/errors";
import {
  DOCUMENT_ROOT_KEY,
  sizeSchema,
  validateDocument,
} from "@coltsfootreach/settings";
import type { DataCentre, ExpectedServer, Worker } from "@coltsfootreach/types";

/** The part of a configuration that is imported from an asset register. */
export interface ImportedInventory {
  readonly dataCentres: readonly DataCentre[];
  readonly workers: readonly Worker[];
  readonly servers: readonly ExpectedServer[];
}

const DEFAULT_DELAY_MS = 1;
const BYTES_PER_MB = 1_048_576;
/** Line number of the first data row; the header is line 1. */
const FIRST_ROW_LINE = 2;

const countSchema = () =>
  z.string().regex(/^\d+$/, "must be a whole number")
    .transform(Number);
/** An empty or absent cell counts as 0. */
const optionalCountSchema = () =>
  z.string().regex(/^\d*$/, "must be a whole number").default("")
    .transform(Number);
const nonEmptySchema = () => z.string().min(1, "must not be empty");

const rowSchema = z.object({
  data_centre: nonEmptySchema(),
  region: nonEmptySchema(),
  rack: nonEmptySchema(),
  worker: nonEmptySchema(),
  cores: countSchema(),
  memory: sizeSchema(),
  accelerators: optionalCountSchema(),
  server: z.string().default(""),
  slots: optionalCountSchema(),
  connections: optionalCountSchema(),
});

type Row = z.output<typeof rowSchema>;

/**
 * Imports the rows of a register. A register holds no network delays: data
 * centres in `known` keep theirs, others get the default of 1 ms.
 */
export function importRegister(
  { file, csv, known }: {
    readonly file: string;
    readonly csv: string;
    readonly known: readonly DataCentre[];
  },
): Result<ImportedInventory, InvalidFile> {
  return parseRows(file, csv)
    .andThen((rows) => validateRows(file, rows))
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
    return err(new InvalidFile(file, DOCUMENT_ROOT_KEY, reason));
  }
}

function validateRows(
  file: string,
  rows: readonly unknown[],
): Result<readonly Row[], InvalidFile> {
  const validRows: Row[] = [];
  for (const [index, row] of rows.entries()) {
    const source = `${file}: line ${index + FIRST_ROW_LINE}`;
    const result = validateDocument(source, row, rowSchema);
    if (result.isErr()) return err(result.error);
    validRows.push(result.value);
  }
  return ok(validRows);
}

function collectDataCentres(
  rows: readonly Row[],
  known: readonly DataCentre[],
): readonly DataCentre[] {
  const dataCentres = new Map<string, DataCentre>();
  for (const { data_centre: name, region } of rows) {
    const delayMs = known.find((item) => item.name === name)?.delayMs ??
      DEFAULT_DELAY_MS;
    dataCentres.set(name, { name, region, delayMs });
  }
  return [...dataCentres.values()];
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
