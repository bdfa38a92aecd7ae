// Bundles the program for the users' platform into one file, libraries
// included, with V8's compiled code beside it: small VMs start in half the time.
import { build } from "esbuild";
import { execFileSync } from "node:child_process";
import { copyFileSync } from "node:fs";
import path from "node:path";

// The whole of undici also sets up fetch, WebSocket and caches at start.
const usePoolAlone = {
  name: "use-pool-alone",
  setup(plugin) {
    plugin.onResolve({ filter: /^undici$/ }, () => ({
      path: path.resolve("scripts/undici_pool.cjs"),
    }));
  },
};

await build({
  entryPoints: ["platform/src/main.ts"],
  outfile: "target/program.cjs",
  bundle: true,
  minify: true,
  platform: "node",
  target: "node20",
  format: "cjs",
  plugins: [usePoolAlone],
  define: {
    // The native decoder of long texts isn't in the bundle.
    "process.env.MSGPACKR_NATIVE_ACCELERATION_DISABLED": '"true"',
  },
  logLevel: "warning",
});
copyFileSync("scripts/load_compiled.cjs", "target/coltsfootreach.cjs");

// Runs the program once, so that what start-up uses is compiled too.
execFileSync(process.execPath, ["target/coltsfootreach.cjs", "--help"], {
  env: { ...process.env, COLTSFOOTREACH_COMPILE: "1" },
  stdio: "ignore",
});
