/** Runs stand-in sides until it is told to stop. */
import { cac } from "cac";
import { createSideStandin } from "./side_standin.ts";

/** Pause between two sides, so that an entry can take the connections. */
const STAGGER_MS = 2;

const cli = cac("side-standin");
cli.option("--count <n>", "Number of sides", { default: 1 });
cli.option("--name <prefix>", "Start of their names", { default: "side" });
cli.option("--entries <addresses>", "Link addresses, with commas");
cli.option("--classes <names>", "Classes they serve, with commas");
cli.option("--slots <n>", "Slots of each", { default: 8 });
cli.help();

function listOf(text: unknown): readonly string[] {
  return String(text ?? "").split(",").filter((part) => part !== "");
}

const { options } = cli.parse();
if (!options.help) {
  for (let index = 0; index < Number(options.count); index++) {
    createSideStandin({
      name: `${options.name}-${index}`,
      dataCentre: "kiln-yard",
      entries: listOf(options.entries),
      classes: listOf(options.classes),
      slots: Number(options.slots),
    });
    await new Promise((wake) => setTimeout(wake, STAGGER_MS));
  }
  console.log(JSON.stringify({ sides: Number(options.count) }));
  for (const signal of ["SIGINT", "SIGTERM"] as const) {
    process.once(signal, () => process.exit());
  }
}
