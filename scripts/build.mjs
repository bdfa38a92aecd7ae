// Bundles the two shipped binaries; libraries stay outside the bundle.
import { build } from "esbuild";

const BINARIES = [
  ["packages/daemon/src/main.ts", "packages/daemon/dist/coltsfootreachd.js"],
  ["packages/cli/src/main.ts", "packages/cli/dist/coltsfootreach.js"],
];

// Workspace packages are source, so they go into the bundle; npm packages do not.
const keepNpmPackagesOutside = {
  name: "keep-npm-packages-outside",
  setup(plugin) {
    plugin.onResolve({ filter: /^[^./]/ }, (request) => {
      const own = request.path.startsWith("@coltsfootreach/");
      return own || request.kind === "entry-point"
        ? undefined
        : { path: request.path, external: true };
    });
  },
};

for (const [entryPoint, outfile] of BINARIES) {
  await build({
    entryPoints: [entryPoint],
    outfile,
    bundle: true,
    platform: "node",
    target: "node20",
    format: "esm",
    sourcemap: true,
    banner: { js: "#!/usr/bin/env node" },
    plugins: [keepNpmPackagesOutside],
    logLevel: "warning",
  });
}
