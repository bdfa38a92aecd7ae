/** The processes of a soak and the stand-ins around them. */
import { mkdirSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import process from "node:process";
import { type Relay, startRelay } from "@coltsfootreach/chaos";
import { type Child, startChild } from "@coltsfootreach/fleet";
import {
  formatSettings,
  type ProcessSettings,
  startServerApp,
  startStoreStandin,
  type StoreStandin,
} from "@coltsfootreach/platform";
import {
  type Checker,
  createServerStandin,
  type Random,
  type ServerStandin,
  type TaskProfile,
} from "@coltsfootreach/simulate";
import type { RunRef } from "@coltsfootreach/run";
import { SAMPLE_BOUNDS, SAMPLE_REMOTE_FACTOR } from "@coltsfootreach/standin";
import type { Size } from "./sizes.ts";

const PROGRAM = "target/coltsfootreach.cjs";

/** Where entries listen for sides. */
const LINK_PORT = 7720;

const GRACE_SECONDS = 4;

/** A process that ended is started again after this long. */
const RESTART_MS = 300;

const RESTART_LOOK_MS = 100;

export interface FleetOptions {
  readonly size: Size;
  readonly random: Random;
  readonly checker: Checker;
  /** Pool of the backend servers. */
  readonly service: string;
  /** Folder for settings and logs. */
  readonly folder: string;
  /** First two bytes of the loopback addresses to use. */
  readonly network: string;
  now(): number;
  profileOf(ref: RunRef): TaskProfile;
}

export interface SoakedProcess {
  readonly child: Child;
  /** An end is expected from here on: it was told to, or was killed. */
  isEnding: boolean;
}

export interface SoakedEntry extends SoakedProcess {
  /** In front of its streams with sides. */
  readonly links: Relay;
  /** In front of its callers. */
  readonly callers: Relay;
}

export interface SoakedSide extends SoakedProcess {
  server(): ServerStandin;
  crashServer(downMs: number): void;
  setLossShare(share: number): void;
}

export interface Fleet {
  readonly store: StoreStandin;
  readonly entries: readonly SoakedEntry[];
  readonly sides: readonly SoakedSide[];
  stop(): Promise<void>;
}

export async function startFleet(options: FleetOptions): Promise<Fleet> {
  const { size, random, checker, folder, network } = options;
  const storeAddress = `${network}.4.1:8169`;
  /** What sides see in place of the entries' own addresses. */
  const relayed = new Map<string, string>();
  const closing: { close(): unknown }[] = [];
  let isStopping = false;
  mkdirSync(folder, { recursive: true });

  const store = await startStoreStandin({
    address: storeAddress,
    random: random.next,
    transformValue: (_key, value) => relayed.get(value) ?? value,
  });
  closing.push(store);

  function startProgram(
    place:
      & Pick<ProcessSettings, "name" | "role" | "ip">
      & Partial<ProcessSettings>,
  ): Child {
    const { name, role } = place;
    const settings = join(folder, `${name}.json`);
    writeFileSync(
      settings,
      formatSettings({
        storeAddress,
        firstPort: LINK_PORT,
        bounds: SAMPLE_BOUNDS,
        remoteFactor: SAMPLE_REMOTE_FACTOR,
        graceSeconds: GRACE_SECONDS,
        ...place,
      }),
    );
    return startChild({
      name,
      args: [PROGRAM, role],
      logFile: join(folder, `${name}.log`),
      logsOutput: true,
      variables: { COLTSFOOTREACH_BOOT: settings },
    });
  }

  async function startEntry(index: number): Promise<SoakedEntry> {
    const ip = `${network}.1.${index + 1}`;
    const callerAddress = `${ip}:8161`;
    const links = await startRelay(`${ip}:${LINK_PORT}`);
    const callers = await startRelay(callerAddress);
    relayed.set(`${ip}:${LINK_PORT}`, links.address);
    closing.push(links, callers);
    const child = startProgram({
      name: `entry-${index}`,
      role: "entry",
      ip,
      callerAddress,
      readinessAddress: `${ip}:8167`,
    });
    return { child, links, callers, isEnding: false };
  }

  async function startSide(index: number): Promise<SoakedSide> {
    const ip = `${network}.2.${index + 1}`;
    const address = `${network}.3.${index + 1}:8080`;
    const sideAddress = `${ip}:8166`;
    let lossShare = 0;
    let lives = 0;
    let id = "";
    let server = makeServer();

    function makeServer(): ServerStandin {
      lives += 1;
      // A server may start again under the id that it had.
      if (id === "" || random.chance(0.5)) id = `server-${index}-${lives}`;
      return createServerStandin({
        clock: {
          now: options.now,
          after: (delayMs, event) => setTimeout(event, delayMs),
          runUntil() {},
        },
        id,
        born: 1_000_000 * (lives + 1) + Math.floor(options.now()),
        capacity: { cpu: 16_000, memoryMb: 65_536, gpu: 0 },
        slowness: 1,
        maxLeaseMs: SAMPLE_BOUNDS.maxLeaseMs,
        stopMs: SAMPLE_BOUNDS.stopMs,
        profileOf: options.profileOf,
        observer: checker,
      });
    }

    closing.push(
      await startServerApp({
        address,
        sideAddress,
        service: options.service,
        currentServer: () => server,
        responseLossRate: () => lossShare,
        random: random.next,
      }),
    );
    const child = startProgram({
      name: `side-${index}`,
      role: "side",
      ip,
      serverAddress: address,
      announcementAddress: sideAddress,
    });
    return {
      child,
      isEnding: false,
      server: () => server,
      crashServer(downMs) {
        if (!server.isUp()) return;
        server.crash();
        setTimeout(() => {
          if (!isStopping) server = makeServer();
        }, downMs);
      },
      setLossShare(share) {
        lossShare = share;
      },
    };
  }

  const indexes = (count: number) => [...Array(count).keys()];
  const entries = await Promise.all(indexes(size.entries).map(startEntry));
  const sides = await Promise.all(indexes(size.sides).map(startSide));

  /** Starts what has ended again, as the platform does. */
  function restartEnded(one: SoakedProcess): void {
    if (isStopping || one.child.isRunning()) return;
    if (!one.isEnding) checker.reportViolation("EXIT", one.child.name);
    one.isEnding = true;
    setTimeout(() => {
      if (isStopping || one.child.isRunning()) return;
      one.isEnding = false;
      one.child.restart();
    }, RESTART_MS);
  }

  const watch = setInterval(() => {
    for (const one of [...entries, ...sides]) restartEnded(one);
  }, RESTART_LOOK_MS);

  function killAll(): void {
    for (const { child } of [...entries, ...sides]) child.signal("SIGKILL");
  }

  // Nothing outlives a soak that fails itself.
  process.once("exit", killAll);

  return {
    store,
    entries,
    sides,
    async stop() {
      isStopping = true;
      clearInterval(watch);
      process.off("exit", killAll);
      killAll();
      await Promise.all(
        [...entries, ...sides].map(({ child }) => child.ended()),
      );
      for (const side of sides) side.server().crash();
      await Promise.all(closing.map((one) => one.close()));
    },
  };
}
