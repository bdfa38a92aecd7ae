/** Validation across the sections of a configuration document. */
import { InvalidFile } from "@coltsfootreach/errors";
import type { ConfigurationContent } from "./schema.ts";

interface ValidationIssue {
  readonly key: string;
  readonly reason: string;
}

interface NamedItem {
  readonly name: string;
}

/** Returns the first duplicate or unknown reference; undefined if none. */
export function findValidationError(
  file: string,
  configuration: ConfigurationContent,
): InvalidFile | undefined {
  const issue = findDuplicateName(configuration) ??
    findUnknownReference(configuration) ??
    findDuplicateRule(configuration);
  return issue && new InvalidFile(file, issue.key, issue.reason);
}

function findDuplicateName(
  configuration: ConfigurationContent,
): ValidationIssue | undefined {
  return findDuplicateInSection("data_centres", configuration.dataCentres) ??
    findDuplicateInSection("workers", configuration.workers) ??
    findDuplicateInSection("servers", configuration.servers) ??
    findDuplicateInSection("tenants", configuration.tenants) ??
    findDuplicateInSection("classes", configuration.classes);
}

function findDuplicateInSection(
  section: string,
  items: readonly NamedItem[],
): ValidationIssue | undefined {
  const index = indexOfFirstDuplicate(items.map((item) => item.name));
  if (index === undefined) return undefined;
  const name = items[index]!.name;
  return {
    key: `${section}[${index}].name`,
    reason: `"${name}" is already used`,
  };
}

function findUnknownReference(
  configuration: ConfigurationContent,
): ValidationIssue | undefined {
  return findUnknownDataCentre(configuration) ??
    findUnknownWorker(configuration);
}

function findUnknownDataCentre(
  configuration: ConfigurationContent,
): ValidationIssue | undefined {
  const knownNames = collectNames(configuration.dataCentres);
  const index = configuration.workers
    .findIndex((worker) => !knownNames.has(worker.dataCentre));
  if (index < 0) return undefined;
  return {
    key: `workers[${index}].data_centre`,
    reason: `unknown data centre "${configuration.workers[index]!.dataCentre}"`,
  };
}

function findUnknownWorker(
  configuration: ConfigurationContent,
): ValidationIssue | undefined {
  const knownNames = collectNames(configuration.workers);
  const index = configuration.servers
    .findIndex((server) => !knownNames.has(server.worker));
  if (index < 0) return undefined;
  return {
    key: `servers[${index}].worker`,
    reason: `unknown worker "${configuration.servers[index]!.worker}"`,
  };
}

function findDuplicateRule(
  { rules }: ConfigurationContent,
): ValidationIssue | undefined {
  return findDuplicateValue("rules.held", rules.held) ??
    findDuplicateValue("rules.drained", rules.drained) ??
    findDuplicateValue("rules.never_ejected", rules.neverEjected) ??
    findDuplicateValue("rules.gone", rules.gone);
}

function findDuplicateValue(
  key: string,
  values: readonly string[],
): ValidationIssue | undefined {
  const index = indexOfFirstDuplicate(values);
  if (index === undefined) return undefined;
  return {
    key: `${key}[${index}]`,
    reason: `"${values[index]}" is listed twice`,
  };
}

function indexOfFirstDuplicate(values: readonly string[]): number | undefined {
  const seen = new Set<string>();
  for (const [index, value] of values.entries()) {
    if (seen.has(value)) return index;
    seen.add(value);
  }
  return undefined;
}

function collectNames(items: readonly NamedItem[]): ReadonlySet<string> {
  return new Set(items.map((item) => item.name));
}
