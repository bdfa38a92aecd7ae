/**
 * A fleet on loopback: a stand-in for the key-value service, entries, sides,
 * and a stand-in backend server for each side.
 */
import { mkdirSync, mkdtempSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { type Child, startChild } from "./process.ts";
import { findFreePorts } from "./ports.ts";
import {
  writeEntryFile,
  writeOperatorFile,
  writeSideFile,
} from "./settings_files.ts";

/** How long a fleet may take until it is ready. */
const READY_TIMEOUT_MS = 20_000;

const POLL_MS = 50;

/** Workers in one rack. */
const RACK_SIZE = 3;

const ROOT = fileURLToPath(new URL("../../..", import.meta.url));

const DAEMON = join(ROOT, "packages/daemon/dist/coltsfootreachd.js");

const STANDIN = join(ROOT, "packages/standin/src");

const MANAGEMENT_TOKEN = "loopback-only-token";

export interface FleetOptions {
  readonly entries: number;
  readonly sides: number;
  readonly slots: number;
  readonly connections: number;
  /** Speed factors of the backend servers, repeated in turn. */
  readonly speeds: readonly number[];
  readonly classes: readonly string[];
  readonly dataCentres: readonly string[];
  /** Processes that the backend servers are spread over. */
  readonly backendProcesses: number;
  /** Gives the address under which others reach an entry's link. */
  advertise?(link: string): Promise<string>;
  /** Options of Node.js for the entries, such as `--cpu-prof`. */
  readonly entryFlags?: readonly string[] | undefined;
  /** The entries' placement policy; their default when absent. */
  readonly placement?: string | undefined;
}

export interface EntryProcess {
  readonly child: Child;
  /** Where callers submit, as an HTTP origin. */
  readonly origin: string;
  readonly management: string;
  /** Where sides reach it, as `IP:port`. */
  readonly link: string;
}

export interface Fleet {
  readonly folder: string;
  readonly managementToken: string;
  /** Settings for the operators' command line. */
  readonly operatorFile: string;
  readonly entries: readonly EntryProcess[];
  readonly sides: readonly Child[];
  readonly backends: readonly Child[];
  /** Origins of the backend servers, in the order of the sides. */
  readonly backendOrigins: readonly string[];
  readonly store: Child;
  readonly storeAddress: string;
  readonly storeControl: string;
  /** Stops every process in order; true when all ended well. */
  stop(): Promise<boolean>;
}

interface Announced {
  readonly servers: readonly { readonly origin: string }[];
}

export async function startFleet(options: FleetOptions): Promise<Fleet> {
  const folder = mkdtempSync(join(tmpdir(), "coltsfootreach-"));
  mkdirSync(join(folder, "logs"));

  function start(name: string, args: readonly string[]): Child {
    const logFile = join(folder, "logs", `${name}.log`);
    return startChild({ name, args, logFile });
  }

  const store = start("store", [
    "--import=tsx",
    join(STANDIN, "kv/kv_main.ts"),
  ]);
  const { address: storeAddress, controlAddress: storeControl } = JSON.parse(
    await store.firstLine(),
  );

  const entryPorts = await findFreePorts(options.entries * 3);
  const links = await Promise.all(
    Array.from({ length: options.entries }, async (_, index) => {
      const listen = `127.0.0.1:${entryPorts[index * 3 + 1]}`;
      const advertise = await options.advertise?.(listen) ?? listen;
      return { listen, advertise };
    }),
  );
  const entries = links.map((link, index) => {
    const [callerPort, , managementPort] = entryPorts.slice(index * 3);
    const file = writeEntryFile(folder, {
      name: `entry-${index}`,
      dataCentre: options.dataCentres[index % options.dataCentres.length]!,
      callerPort: callerPort!,
      link,
      managementPort: managementPort!,
      managementToken: MANAGEMENT_TOKEN,
      storeAddress,
      placement: options.placement,
    });
    return {
      child: start(`entry-${index}`, [
        ...options.entryFlags ?? [],
        DAEMON,
        "entry",
        "--settings",
        file,
      ]),
      origin: `http://127.0.0.1:${callerPort}`,
      management: `http://127.0.0.1:${managementPort}`,
      link: link.advertise,
    };
  });

  const sidePorts = await findFreePorts(options.sides);
  const sides = sidePorts.map((announcementPort, index) => {
    const file = writeSideFile(folder, {
      name: `side-${index}`,
      dataCentre: options.dataCentres[index % options.dataCentres.length]!,
      rack: `rack-${Math.floor(index / RACK_SIZE)}`,
      worker: `worker-${index}`,
      announcementPort,
      entries: entries.map(({ link }) => link),
    });
    return start(`side-${index}`, [DAEMON, "side", "--settings", file]);
  });

  const perProcess = Math.ceil(options.sides / options.backendProcesses);
  const backends: Child[] = [];
  const backendOrigins: string[] = [];
  for (let first = 0; first < options.sides; first += perProcess) {
    const indices = sidePorts.slice(first, first + perProcess);
    const speeds = indices.map((_, offset) =>
      options.speeds[(first + offset) % options.speeds.length]
    );
    const child = start(`backends-${first}`, [
      "--import=tsx",
      join(STANDIN, "backend/backend_main.ts"),
      `--count=${indices.length}`,
      `--name=server-${first}`,
      `--sides=${indices.map((port) => `http://127.0.0.1:${port}`).join(",")}`,
      `--classes=${options.classes.join(",")}`,
      `--slots=${options.slots}`,
      `--connections=${options.connections}`,
      `--speeds=${speeds.join(",")}`,
    ]);
    backends.push(child);
    const announced: Announced = JSON.parse(await child.firstLine());
    backendOrigins.push(...announced.servers.map(({ origin }) => origin));
  }

  const operatorFile = writeOperatorFile(folder, {
    entries: entries.map(({ origin }) => origin),
    managements: entries.map(({ management }) => management),
    managementToken: MANAGEMENT_TOKEN,
    storeAddress,
  });

  async function stop(): Promise<boolean> {
    const daemons = [...entries.map(({ child }) => child), ...sides];
    daemons.forEach((child) => child.signal("SIGTERM"));
    const codes = await Promise.all(daemons.map((child) => child.ended()));
    const others = [...backends, store];
    others.forEach((child) => child.signal("SIGTERM"));
    await Promise.all(others.map((child) => child.ended()));
    return codes.every((code) => code === 0);
  }

  await waitUntilReady(entries.map(({ origin }) => origin));
  return {
    folder,
    managementToken: MANAGEMENT_TOKEN,
    operatorFile,
    entries,
    sides,
    backends,
    backendOrigins,
    store,
    storeAddress,
    storeControl,
    stop,
  };
}

async function waitUntilReady(origins: readonly string[]): Promise<void> {
  const untilMs = performance.now() + READY_TIMEOUT_MS;
  for (const origin of origins) {
    while (!(await isReady(origin))) {
      if (performance.now() > untilMs) {
        throw new Error(`${origin} did not become ready`);
      }
      await new Promise((wake) => setTimeout(wake, POLL_MS));
    }
  }
}

async function isReady(origin: string): Promise<boolean> {
  const answer = await fetch(`${origin}/readyz`).catch(() => undefined);
  return answer?.ok ?? false;
}
