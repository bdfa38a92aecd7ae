import { execFileSync } from "node:child_process";
import { mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import { expect } from "chai";
import { FLEET_SIZES } from "./sizes.ts";
import { soak } from "./soak.ts";

const SEED = 11;

const SECONDS = 6;

const BUILD_TIMEOUT_MS = 60_000;

describe("soak of the real program", () => {
  const folder = mkdtempSync(join(tmpdir(), "soak-"));

  before(function () {
    this.timeout(BUILD_TIMEOUT_MS);
    execFileSync(process.execPath, ["scripts/build_platform.mjs"]);
  });

  after(() => rmSync(folder, { recursive: true }));

  it("breaches no invariant under fault injection", async () => {
    const result = await soak({
      seed: SEED,
      seconds: SECONDS,
      size: FLEET_SIZES.small,
      folder,
    });
    expect(result.breaches).to.deep.equal([]);
    expect(result.faults.length).to.be.above(3);
    expect(result.counts.completed).to.be.above(result.counts.jobs / 2);
  });
});
