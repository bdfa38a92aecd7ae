// Bundles the executable for the users' platform and its dependencies into one
// file, with a V8 code cache beside it that halves the start-up time on small
// VMs.
import { build } from "esbuild";
import { execFileSync } from "node:child_process";
import { copyFileSync, rmSync } from "node:fs";
import path from "node:path";

const WARM_UP_SCRIPT = "packages/soak/src/warm_up.ts";

const WARM_UP_TIMEOUT_MS = 60_000;

// The main module of undici also sets up fetch, WebSocket and caches on load.
const useUndiciPoolOnly = {
  name: "use-undici-pool-only",
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
  plugins: [useUndiciPoolOnly],
  define: {
    // msgpackr's native string decoder is not part of the bundle.
    "process.env.MSGPACKR_NATIVE_ACCELERATION_DISABLED": '"true"',
  },
  logLevel: "warning",
});
for (const role of ["entry", "side"]) {
  rmSync(`target/program.${role}.compiled`, { force: true });
}
copyFileSync("scripts/load_compiled.cjs", "target/coltsfootreach.cjs");

// The code cache only speeds up start-up, so a failure here is not fatal.
try {
  execFileSync(process.execPath, ["--import=tsx", WARM_UP_SCRIPT], {
    stdio: "ignore",
    timeout: WARM_UP_TIMEOUT_MS,
  });
} catch (error) {
  console.error(
    `built without V8 code cache; start-up will be slower: ${error.message}`,
  );
}
