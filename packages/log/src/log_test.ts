import { expect } from "chai";
import { createLog, type Level, type Log } from "./log.ts";
import { REDACTED } from "./redact.ts";

const TOKEN = "a-token-of-the-operators";

function createRecordedLog(level: Level): [Log, () => unknown[]] {
  const lines: string[] = [];
  const log = createLog({
    role: "entry",
    name: "entry-1",
    incarnation: "i1",
    level,
    secrets: [TOKEN],
    write: (line) => lines.push(line),
  });
  return [log, () => lines.map((line) => JSON.parse(line))];
}

describe("createLog", () => {
  it("writes the process identity, the message and the fields", () => {
    const [log, lines] = createRecordedLog("info");
    log.with({ job: "t\nk" }).info("job ended", { configurationVersion: 3 });
    expect(lines()).to.have.lengthOf(1);
    expect(lines()[0]).to.deep.include({
      level: "info",
      role: "entry",
      name: "entry-1",
      incarnation: "i1",
      message: "job ended",
      job: "t\nk",
      configurationVersion: 3,
    });
  });

  it("omits lines below the configured level", () => {
    const [log, lines] = createRecordedLog("warn");
    log.info("no");
    log.debug("no");
    log.warn("yes");
    log.error("yes");
    expect(lines()).to.have.lengthOf(2);
  });

  it("does not throttle repeated lines", () => {
    const [log, lines] = createRecordedLog("info");
    for (let i = 0; i < 50; i++) log.info("again");
    expect(lines()).to.have.lengthOf(50);
  });

  it("redacts secrets in messages, errors and fields", () => {
    const [log, lines] = createRecordedLog("debug");
    const error = new Error(`bad header: Bearer ${TOKEN}`);
    const fields = { headers: { Authorization: "Bearer x" }, token: "x" };
    log.error(`refused ${TOKEN}`, { error, ...fields });
    log.with({ reason: TOKEN }).debug("closed");
    const text = JSON.stringify(lines());
    expect(text).not.to.include(TOKEN);
    expect(text).not.to.include("Bearer x");
    expect(lines()[0]).to.include({ token: REDACTED });
  });

  it("does not let fields override the role or level", () => {
    const [log, lines] = createRecordedLog("info");
    const fields = { role: "side", level: "debug", job: "j" };
    log.info("hello", fields);
    expect(lines()[0]).to.include({ role: "entry", level: "info" });
  });
});
