/**
 * Runs stand-in backend servers until it is told to stop; they then leave in
 * good order.
 */
import { cac } from "cac";
import {
  type BackendStandin,
  createBackendStandin,
} from "./backend_standin.ts";

const cli = cac("backend-standin");
cli.option("--count <n>", "Number of backend servers", { default: 1 });
cli.option("--name <prefix>", "Start of their names", { default: "backend" });
cli.option("--sides <origins>", "Origins of their sides, with commas");
cli.option("--classes <names>", "Classes they serve, with commas");
cli.option("--slots <n>", "Slots of each", { default: 8 });
cli.option("--connections <n>", "Connections to each", { default: 60 });
cli.option("--speeds <factors>", "Their speeds, with commas", { default: "1" });
cli.help();

const DRAIN_POLL_MS = 20;

const { options } = cli.parse();
if (!options.help) {
  const sides = listOf(options.sides);
  const speeds = listOf(options.speeds).map(Number);
  const servers = await Promise.all(
    Array.from(
      { length: Number(options.count) },
      (_, index) =>
        createBackendStandin({
          server: `${options.name}-${index}`,
          sideOrigin: sides[index % sides.length],
          classes: listOf(options.classes),
          slots: Number(options.slots),
          connections: Number(options.connections),
          speed: speeds[index % speeds.length],
        }),
    ),
  );
  const announcements = servers.map(({ announcement }) => announcement);
  console.log(JSON.stringify({ servers: announcements }));
  for (const signal of ["SIGINT", "SIGTERM"] as const) {
    process.once(signal, () => void stop(servers));
  }
}

async function stop(servers: readonly BackendStandin[]): Promise<void> {
  await Promise.all(servers.map((server) => server.leave()));
  while (servers.some((server) => server.running() > 0)) {
    await new Promise((resolve) => setTimeout(resolve, DRAIN_POLL_MS));
  }
  await Promise.all(servers.map((server) => server.close()));
  process.exit();
}

function listOf(text: unknown): readonly string[] {
  return String(text ?? "").split(",").filter((part) => part !== "");
}
