// Bundles the program for the users' platform into one file, libraries
// included, with V8's compiled code beside it: small VMs start in half the time.
import { build } from "esbuild";
import { execFileSync } from "node:child_process";
import { copyFileSync, rmSync } from "node:fs";
import path from "node:path";

const WARM_UP = "packages/soak/src/warm_up.ts";

const WARM_UP_TIMEOUT_MS = 60_000;

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
for (const role of ["entry", "side"]) {
  rmSync(`target/program.${role}.compiled`, { force: true });
}
copyFileSync("scripts/load_compiled.cjs", "target/coltsfootreach.cjs");

// Without compiled code the program starts more slowly, and is the same.
try {
  execFileSync(process.execPath, ["--import=tsx", WARM_UP], {
    stdio: "ignore",
    timeout: WARM_UP_TIMEOUT_MS,
  });
} catch (error) {
  console.error(`not compiled in advance: ${error.message}`);
}
