/** Checks that reach across the sections of a configuration document. */
import { InvalidFile } from "@coltsfootreach/errors";
import type { EstateContent } from "./schema.ts";

/** A fault of the document by key and reason. */
interface Fault {
  readonly key: string;
  readonly reason: string;
}

interface Named {
  readonly name: string;
}

/** The first fault across sections; undefined when there is none. */
export function findFault(
  file: string,
  estate: EstateContent,
): InvalidFile | undefined {
  const fault = findRepeatedName(estate) ?? findUnknownReference(estate) ??
    findRepeatedRule(estate);
  return fault && new InvalidFile(file, fault.key, fault.reason);
}

function findRepeatedName(estate: EstateContent): Fault | undefined {
  return repeatedIn("data_centres", estate.dataCentres) ??
    repeatedIn("workers", estate.workers) ??
    repeatedIn("servers", estate.servers) ??
    repeatedIn("tenants", estate.tenants) ??
    repeatedIn("classes", estate.classes);
}

function repeatedIn(
  section: string,
  items: readonly Named[],
): Fault | undefined {
  const position = firstRepeated(items.map((item) => item.name));
  if (position === undefined) return undefined;
  const name = items[position]!.name;
  return {
    key: `${section}[${position}].name`,
    reason: `"${name}" is used twice`,
  };
}

function findUnknownReference(estate: EstateContent): Fault | undefined {
  return unknownDataCentre(estate) ?? unknownWorker(estate);
}

function unknownDataCentre(estate: EstateContent): Fault | undefined {
  const known = namesOf(estate.dataCentres);
  const position = estate.workers
    .findIndex((worker) => !known.has(worker.dataCentre));
  if (position < 0) return undefined;
  return {
    key: `workers[${position}].data_centre`,
    reason: `no data centre is named "${estate.workers[position]!.dataCentre}"`,
  };
}

function unknownWorker(estate: EstateContent): Fault | undefined {
  const known = namesOf(estate.workers);
  const position = estate.servers
    .findIndex((server) => !known.has(server.worker));
  if (position < 0) return undefined;
  return {
    key: `servers[${position}].worker`,
    reason: `no worker is named "${estate.servers[position]!.worker}"`,
  };
}

function findRepeatedRule({ rules }: EstateContent): Fault | undefined {
  return repeatedValue("rules.held", rules.held) ??
    repeatedValue("rules.drained", rules.drained) ??
    repeatedValue("rules.never_ejected", rules.neverEjected) ??
    repeatedValue("rules.gone", rules.gone);
}

function repeatedValue(
  key: string,
  values: readonly string[],
): Fault | undefined {
  const position = firstRepeated(values);
  if (position === undefined) return undefined;
  return {
    key: `${key}[${position}]`,
    reason: `"${values[position]}" is listed twice`,
  };
}

function firstRepeated(values: readonly string[]): number | undefined {
  const seen = new Set<string>();
  for (const [position, value] of values.entries()) {
    if (seen.has(value)) return position;
    seen.add(value);
  }
  return undefined;
}

function namesOf(items: readonly Named[]): ReadonlySet<string> {
  return new Set(items.map((item) => item.name));
}
