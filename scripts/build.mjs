// Bundles the two distributed binaries; npm dependencies stay external.
import { build } from "esbuild";

const BINARIES = [
  ["packages/daemon/src/main.ts", "packages/daemon/dist/coltsfootreachd.js"],
  ["packages/cli/src/main.ts", "packages/cli/dist/coltsfootreach.js"],
];

// Workspace packages exist only as source, so they are bundled.
const externalizeNpmPackages = {
  name: "externalize-npm-packages",
  setup(plugin) {
    plugin.onResolve({ filter: /^[^./]/ }, (request) => {
      const isWorkspacePackage = request.path.startsWith("@coltsfootreach/");
      return isWorkspacePackage || request.kind === "entry-point"
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
    plugins: [externalizeNpmPackages],
    logLevel: "warning",
  });
}
