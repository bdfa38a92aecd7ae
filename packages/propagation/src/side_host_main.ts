/** Runs several sides in one process until it is told to stop. */
import process from "node:process";
import { cac } from "cac";
import { createLog } from "@coltsfootreach/log";
import { startSide } from "@coltsfootreach/side";

const RACK_SIZE = 3;

const cli = cac("side-host");
cli.option("--first <index>", "Number of its first side");
cli.option("--count <n>", "Number of sides");
cli.option("--entries <addresses>", "Link addresses of entries, with commas");
const { options } = cli.parse();

const entries = String(options.entries).split(",");
const sides = await Promise.all(
  Array.from({ length: Number(options.count) }, (_, offset) => {
    const index = Number(options.first) + offset;
    const name = `side-${index}`;
    return startSide({
      name,
      dataCentre: "kiln-yard",
      rack: `rack-${Math.floor(index / RACK_SIZE)}`,
      worker: `worker-${index}`,
      announcement: { host: "127.0.0.1", port: 0 },
      entries,
      queuePerSlot: 1,
      freshnessMs: 3000,
      heartbeatMs: 1000,
      silentMs: 3000,
      drainMs: 5000,
      keepEvidenceMs: 900_000,
      keepResultsMs: 60_000,
      maxJobs: 1000,
      log: createLog({ role: "side", name, incarnation: "", level: "info" }),
    });
  }),
);
console.log(JSON.stringify({ sides: sides.length }));

for (const signal of ["SIGINT", "SIGTERM"] as const) {
  process.once(signal, async () => {
    await Promise.all(sides.map((side) => side.stop()));
    process.exit(0);
  });
}
