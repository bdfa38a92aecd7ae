import { expect } from "chai";
import { summarizeDelays } from "./delay.ts";
import { findReversals, inForceSince, parseRuns } from "./version_log.ts";

function line(name: string, second: number, message: string, version?: number) {
  const time = new Date(second * 1000).toISOString();
  return JSON.stringify({ time, name, message, configurationVersion: version });
}

describe("the versions in a log", () => {
  const runs = parseRuns([
    "a warning of the runtime",
    line("entry-0", 1, "entry starting"),
    line("entry-0", 2, "configuration", 4),
    line("entry-0", 3, "automatic act", 2),
    line("entry-0", 4, "configuration", 6),
    line("entry-0", 5, "entry starting"),
    line("entry-0", 6, "configuration", 5),
    line("entry-0", 7, "configuration", 3),
    '{"time":',
  ].join("\n"));

  it("are those of each run of a process", () => {
    expect(runs).to.have.lengthOf(2);
    expect(inForceSince(runs[0]!, 5)).to.equal(4000);
    expect(inForceSince(runs[1]!, 6)).to.equal(undefined);
  });

  it("go back only within a run", () => {
    expect(findReversals(runs)).to.deep.equal([
      { process: "entry-0", from: 5, to: 3 },
    ]);
  });
});

describe("a summary of delays", () => {
  it("names the worst and the quantiles over all edits", () => {
    const delaysMs = Array.from({ length: 99 }, (_, index) => index + 1);
    const summary = summarizeDelays([
      { version: 1, delaysMs },
      { version: 2, delaysMs: [500] },
    ]);
    expect(summary).to.deep.equal({
      edits: 2,
      samples: 100,
      p50Ms: 50,
      p99Ms: 99,
      worstMs: 500,
    });
  });
});
