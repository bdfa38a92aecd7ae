/** The processes under test and the simulated services around them. */
import { mkdirSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import process from "node:process";
import { type Relay, startRelay } from "@coltsfootreach/chaos";
import { type Child, startChild } from "@coltsfootreach/fleet";
import {
  formatSettings,
  type ProcessSettings,
  startStoreStandin,
  type StoreStandin,
} from "@coltsfootreach/platform";
import type { Checker, Random, TaskProfile } from "@coltsfootreach/simulate";
import type { RunRef } from "@coltsfootreach/run";
import { SAMPLE_BOUNDS, SAMPLE_REMOTE_FACTOR } from "@coltsfootreach/standin";
import { type ServerHost, startServerHost } from "./server_host.ts";
import type { FleetSize } from "./sizes.ts";
import { storeAddressIn } from "./network.ts";

const PROGRAM_PATH = "target/coltsfootreach.cjs";

/** Port on which entries accept connections from sides. */
const LINK_PORT = 7720;

const GRACE_SECONDS = 4;

/** Delay before an exited process is restarted. */
const RESTART_DELAY_MS = 300;

const EXIT_POLL_INTERVAL_MS = 100;

export interface FleetOptions {
  readonly size: FleetSize;
  readonly random: Random;
  readonly checker: Checker;
  /** Name of the service that the backend servers belong to. */
  readonly service: string;
  /** Folder for settings files and logs. */
  readonly folder: string;
  /** First two octets of the loopback addresses, as `127.N`. */
  readonly networkPrefix: string;
  now(): number;
  taskProfile(ref: RunRef): TaskProfile;
}

export interface ManagedProcess {
  readonly child: Child;
  /** The process was signalled to exit, so its exit is no breach. */
  isExitExpected: boolean;
}

export interface EntryProcess extends ManagedProcess {
  /** Relay in front of the port for streams from sides. */
  readonly linkRelay: Relay;
  /** Relay in front of the port for callers. */
  readonly callerRelay: Relay;
}

export interface SideProcess extends ManagedProcess {
  readonly serverHost: ServerHost;
}

export interface Fleet {
  readonly store: StoreStandin;
  readonly entries: readonly EntryProcess[];
  readonly sides: readonly SideProcess[];
  stop(): Promise<void>;
}

export async function startFleet(options: FleetOptions): Promise<Fleet> {
  const { size, random, checker, folder, networkPrefix } = options;
  const storeAddress = storeAddressIn(networkPrefix);
  /** Relay addresses that sides read from the store, by entry address. */
  const relayAddresses = new Map<string, string>();
  const closables: { close(): unknown }[] = [];
  let isStopping = false;
  mkdirSync(folder, { recursive: true });

  const store = await startStoreStandin({
    address: storeAddress,
    random: random.next,
    transformValue: (_key, value) => relayAddresses.get(value) ?? value,
  });
  closables.push(store);

  function startProgram(
    processSettings:
      & Pick<ProcessSettings, "name" | "role" | "ip">
      & Partial<ProcessSettings>,
  ): Child {
    const { name, role } = processSettings;
    const settingsPath = join(folder, `${name}.json`);
    writeFileSync(
      settingsPath,
      formatSettings({
        storeAddress,
        firstPort: LINK_PORT,
        bounds: SAMPLE_BOUNDS,
        remoteFactor: SAMPLE_REMOTE_FACTOR,
        graceSeconds: GRACE_SECONDS,
        ...processSettings,
      }),
    );
    return startChild({
      name,
      args: [PROGRAM_PATH, role],
      logFile: join(folder, `${name}.log`),
      logsOutput: true,
      variables: { COLTSFOOTREACH_BOOT: settingsPath },
    });
  }

  async function startEntry(index: number): Promise<EntryProcess> {
    const ip = `${networkPrefix}.1.${index + 1}`;
    const callerAddress = `${ip}:8161`;
    const linkRelay = await startRelay(`${ip}:${LINK_PORT}`);
    const callerRelay = await startRelay(callerAddress);
    relayAddresses.set(`${ip}:${LINK_PORT}`, linkRelay.address);
    closables.push(linkRelay, callerRelay);
    const child = startProgram({
      name: `entry-${index}`,
      role: "entry",
      ip,
      callerAddress,
      readinessAddress: `${ip}:8167`,
    });
    return {
      child,
      linkRelay,
      callerRelay,
      isExitExpected: false,
    };
  }

  async function startSide(index: number): Promise<SideProcess> {
    const ip = `${networkPrefix}.2.${index + 1}`;
    const address = `${networkPrefix}.3.${index + 1}:8080`;
    const sideAddress = `${ip}:8166`;
    const serverHost = await startServerHost({
      ...options,
      index,
      address,
      sideAddress,
    });
    closables.push(serverHost);
    const child = startProgram({
      name: `side-${index}`,
      role: "side",
      ip,
      serverAddress: address,
      announcementAddress: sideAddress,
    });
    return { child, isExitExpected: false, serverHost };
  }

  const indexes = (count: number) => [...Array(count).keys()];
  const entries = await Promise.all(indexes(size.entries).map(startEntry));
  const sides = await Promise.all(indexes(size.sides).map(startSide));

  /** Restarts an exited process, as the platform does. */
  function restartIfExited(target: ManagedProcess): void {
    if (isStopping || target.child.isRunning()) return;
    if (!target.isExitExpected) {
      checker.reportViolation("EXIT", target.child.name);
    }
    target.isExitExpected = true;
    setTimeout(() => {
      if (isStopping || target.child.isRunning()) return;
      target.isExitExpected = false;
      target.child.restart();
    }, RESTART_DELAY_MS);
  }

  const restartTimer = setInterval(() => {
    for (const target of [...entries, ...sides]) restartIfExited(target);
  }, EXIT_POLL_INTERVAL_MS);

  function killAll(): void {
    for (const { child } of [...entries, ...sides]) child.signal("SIGKILL");
  }

  // Leaves no process behind when the soak itself crashes.
  process.once("exit", killAll);

  return {
    store,
    entries,
    sides,
    async stop() {
      isStopping = true;
      clearInterval(restartTimer);
      process.off("exit", killAll);
      killAll();
      await Promise.all(
        [...entries, ...sides].map(({ child }) => child.ended()),
      );
      await Promise.all(closables.map((one) => one.close()));
    },
  };
}
