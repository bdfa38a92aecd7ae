/** Runs the stand-in for the key-value service until it is told to stop. */
import { cac } from "cac";
import { createKvStandin } from "./kv_standin.ts";

const cli = cac("kv-standin");
cli.option("--port <port>", "Port of the service", { default: 0 });
cli.option("--control-port <port>", "Port of the controls", { default: 0 });
cli.help();

const { options } = cli.parse();
if (!options.help) {
  const standin = await createKvStandin({
    port: Number(options.port),
    controlPort: Number(options.controlPort),
  });
  const { address, controlAddress } = standin;
  console.log(JSON.stringify({ address, controlAddress }));
  for (const signal of ["SIGINT", "SIGTERM"] as const) {
    process.once(signal, () => standin.close().then(() => process.exit()));
  }
}
