// Bundles the program for the users' platform into one file, libraries included.
import { build } from "esbuild";

// Some libraries are CommonJS and ask for Node's modules by `require`.
const REQUIRE_FOR_LIBRARIES =
  'import { createRequire } from "node:module"; const require = createRequire(import.meta.url);';

await build({
  entryPoints: ["platform/src/main.ts"],
  outfile: "target/coltsfootreach.mjs",
  bundle: true,
  minify: true,
  platform: "node",
  target: "node20",
  format: "esm",
  banner: { js: REQUIRE_FOR_LIBRARIES },
  logLevel: "warning",
});
