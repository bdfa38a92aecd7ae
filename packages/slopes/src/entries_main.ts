/**
 * Entries in one process with a store in memory, for sides to connect to. Prints
 * their link addresses and keeps the count of their store calls in a file.
 */
import { writeFileSync } from "node:fs";
import process from "node:process";
import { cac } from "cac";
import { createConfigurationHolder } from "@coltsfootreach/configure";
import { startEntry } from "@coltsfootreach/entry";
import { parseEstate } from "@coltsfootreach/inventory";
import { createTenantQueue } from "@coltsfootreach/limit";
import { createLog } from "@coltsfootreach/log";
import { createLeastOutstanding } from "@coltsfootreach/place";
import {
  createMemoryService,
  createMemoryStore,
  SYSTEM_CLOCK,
} from "@coltsfootreach/standin";

const cli = cac("entries");
cli.option("--count <n>", "Number of entries");
cli.option("--calls <file>", "Takes the store calls since the start");

const HEARTBEAT_MS = 1400;

const LEASE_S = 5;

const LOST_MS = 3000;

const WINDOW_MS = 600_000;

const { options } = cli.parse();
const service = createMemoryService(SYSTEM_CLOCK);
const stores = Array.from(
  { length: Number(options.count) },
  () => createMemoryStore(SYSTEM_CLOCK, { service, watchSilentMs: WINDOW_MS }),
);
const entries = await Promise.all(stores.map((store, index) =>
  startEntry({
    name: `entry-${index}`,
    dataCentre: "kiln-yard",
    listen: "127.0.0.1:0",
    advertise: "127.0.0.1:0",
    store,
    prefix: "slopes/",
    leaseSeconds: LEASE_S,
    freshnessMs: LOST_MS,
    heartbeatMs: HEARTBEAT_MS,
    sideLostMs: LOST_MS,
    doubtMs: LOST_MS,
    drainMs: LOST_MS,
    maxHeld: 1,
    records: {
      windowMs: WINDOW_MS,
      skewMs: LOST_MS,
      maxRecords: 1,
      overdueMs: WINDOW_MS,
      orphanMs: WINDOW_MS,
    },
    maxActs: 1,
    holder: createConfigurationHolder({ parse: parseEstate }),
    prepareConfiguration: () => Promise.resolve(),
    createQueue: () => createTenantQueue(),
    createPolicy: () => createLeastOutstanding(Math.random),
    log: createLog({
      role: "entry",
      name: `entry-${index}`,
      incarnation: "",
      level: "error",
    }),
  })
));

function countCalls(): number {
  return stores.reduce(
    (sum, store) =>
      sum + Object.values(store.calls()).reduce((a, b) => a + b, 0),
    0,
  );
}

setInterval(
  () => writeFileSync(options.calls, String(countCalls())),
  HEARTBEAT_MS / 4,
);
const addresses = entries[0]!.core().table().members
  .map(({ address }) => address);
console.log(JSON.stringify({ addresses }));
process.once("SIGTERM", () => process.exit());
