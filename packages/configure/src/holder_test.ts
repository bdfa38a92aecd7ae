import { expect } from "chai";
import fc from "fast-check";
import { err, ok } from "neverthrow";
import type { ParsedConfiguration } from "@coltsfootreach/types";
import { createConfigurationHolder } from "./holder.ts";
import { laggards, MAX_LAG_MS } from "./laggard.ts";
import { createVersionTimes } from "./version_times.ts";

const SEED = 20_261_204;

/** Texts that start with "bad" fail to parse. */
function createHolder() {
  return createConfigurationHolder({
    parse: ({ version, text }) =>
      text.startsWith("bad") ? err({ message: text }) : ok(
        { version } as Partial<ParsedConfiguration> as ParsedConfiguration,
      ),
  });
}

function offer(version: number, text = `text ${version}`, nowMs = version) {
  return { configuration: { version, text }, source: "peer", nowMs } as const;
}

describe("the configuration in force", () => {
  it("reports the version in force, its time and its source", () => {
    const holder = createHolder();
    expect(holder.inForce()).to.equal(undefined);
    expect(holder.take(offer(3, "a", 50))).to.equal("newer");
    expect(holder.take(offer(3, "a", 60))).to.equal("same");
    expect(holder.inForce()).to.deep.include({ sinceMs: 50, source: "peer" });
  });

  it("never reverts, whatever the order of arrival", () => {
    fc.assert(
      fc.property(fc.array(fc.nat(20)), (versions) => {
        const holder = createHolder();
        let highest = 0;
        for (const version of versions) {
          holder.take(offer(version));
          highest = Math.max(highest, version);
          expect(holder.version()).to.equal(highest);
        }
      }),
      { seed: SEED },
    );
  });

  it("ignores another text under the version in force", () => {
    const holder = createHolder();
    holder.take(offer(3, "a"));
    expect(holder.take(offer(3, "b"))).to.equal("different");
    expect(holder.inForce()?.configuration.text).to.equal("a");
  });

  it("keeps the last valid version until a newer valid one arrives", () => {
    const holder = createHolder();
    holder.take(offer(1));
    expect(holder.take(offer(2, "bad key"))).to.equal("invalid");
    expect(holder.version()).to.equal(1);
    expect(holder.rejected()).to.include({ version: 2, reason: "bad key" });
    holder.take(offer(3));
    expect(holder.rejected()).to.equal(undefined);
  });
});

describe("laggards", () => {
  const status = (process: string, version: number) => ({
    process,
    role: "side" as const,
    version,
    heardAtMs: 0,
  });

  it("are the processes below the version, lowest version first", () => {
    const statuses = [status("a", 5), status("b", 4), status("c", 2)];
    const known = { version: 5, sinceMs: 100 };
    const found = laggards(statuses, known, 100 + MAX_LAG_MS);
    expect(found.map((item) => item.process)).to.deep.equal(["c", "b"]);
    expect(found[0]).to.include({ behindMs: MAX_LAG_MS, overdue: true });
    const earlier = laggards(statuses, known, 99 + MAX_LAG_MS);
    expect(earlier.some((item) => item.overdue)).to.equal(false);
  });

  it("become overdue even while newer versions keep arriving", () => {
    const times = createVersionTimes();
    for (let version = 1; version <= 100; version++) {
      times.note(version, version * 1_000);
    }
    const behindSinceMs = times.firstAbove(90);
    expect(behindSinceMs).to.equal(91_000);
    expect(times.firstAbove(1)).to.be.lessThan(91_000);
    expect(times.firstAbove(100)).to.equal(undefined);
    const known = { version: 100, sinceMs: 100_000 };
    const [late] = laggards(
      [{ ...status("a", 90), behindSinceMs }],
      known,
      100_001,
    );
    expect(late).to.include({ behindMs: 9_001, overdue: true });
  });
});
