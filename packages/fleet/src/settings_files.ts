/** Writes the settings files of a fleet on loopback. */
import { writeFileSync } from "node:fs";
import { join } from "node:path";
import { stringify } from "smol-toml";

export interface EntryFile {
  readonly name: string;
  readonly dataCentre: string;
  readonly callerPort: number;
  readonly link: { readonly listen: string; readonly advertise: string };
  readonly managementPort: number;
  readonly managementToken: string;
  readonly storeAddress: string;
  readonly placement?: string | undefined;
}

export interface SideFile {
  readonly name: string;
  readonly dataCentre: string;
  readonly rack: string;
  readonly worker: string;
  readonly announcementPort: number;
  readonly entries: readonly string[];
}

export function writeEntryFile(folder: string, entry: EntryFile): string {
  return write(folder, entry.name, {
    role: "entry",
    name: entry.name,
    data_centre: entry.dataCentre,
    listen: `127.0.0.1:${entry.callerPort}`,
    link: entry.link,
    store: { endpoints: [entry.storeAddress] },
    ...(entry.placement === undefined ? {} : { placement: entry.placement }),
    management: {
      listen: `127.0.0.1:${entry.managementPort}`,
      token: entry.managementToken,
    },
  });
}

export function writeSideFile(folder: string, side: SideFile): string {
  return write(folder, side.name, {
    role: "side",
    name: side.name,
    data_centre: side.dataCentre,
    rack: side.rack,
    worker: side.worker,
    announcement: { listen: `127.0.0.1:${side.announcementPort}` },
    entries: side.entries,
  });
}

export interface OperatorFile {
  /** Callers' and management origins of the entries. */
  readonly entries: readonly string[];
  readonly managements: readonly string[];
  readonly managementToken: string;
  readonly storeAddress: string;
}

export function writeOperatorFile(
  folder: string,
  operator: OperatorFile,
): string {
  return write(folder, "operator", {
    role: "operator",
    entries: operator.entries,
    store: { endpoints: [operator.storeAddress] },
    management: {
      endpoints: operator.managements,
      token: operator.managementToken,
    },
  });
}

function write(folder: string, name: string, document: object): string {
  const file = join(folder, `${name}.toml`);
  writeFileSync(file, stringify(document));
  return file;
}
