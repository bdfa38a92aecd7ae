import { expect } from "chai";
import { parseSettings, readSettings } from "./read.ts";

const ENTRY = `
role = "entry"
name = "entry-1"
data_centre = "kiln-yard"
listen = "127.0.0.1:8080"

[link]
listen = "127.0.0.1:7070"
advertise = "10.0.1.1:7070"

[store]
endpoints = ["http://10.0.0.5:2379"]
`;

const SIDE = `
role = "side"
name = "side-1"
data_centre = "kiln-yard"
rack = "r1"
worker = "w1"
entries = ["10.0.1.1:7070", "[fd00::2]:7070"]
announcement.listen = "127.0.0.1:7080"
`;

function validationErrorOf(text: string): string {
  const message = parseSettings("f.toml", text)
    .match(() => "accepted", (error) => error.message);
  expect(message).not.to.include("\n");
  return message;
}

describe("settings", () => {
  it("apply the defaults of an entry", () => {
    const settings = parseSettings("f.toml", ENTRY)._unsafeUnwrap();
    expect(settings).to.deep.include({
      role: "entry",
      dataCentre: "kiln-yard",
      listen: { host: "127.0.0.1", port: 8080 },
      timeouts: {
        freshnessMs: 3000,
        leaseMs: 5000,
        heartbeatMs: 1400,
        sideLostMs: 3000,
        drainMs: 30000,
      },
      log: { level: "info" },
    });
    expect(settings).not.to.have.property("management");
  });

  it("parse a side's settings", () => {
    const settings = parseSettings("f.toml", SIDE)._unsafeUnwrap();
    expect(settings).to.deep.include({
      announcement: { host: "127.0.0.1", port: 7080 },
      entries: ["10.0.1.1:7070", "[fd00::2]:7070"],
      queuePerSlot: 1,
    });
  });

  const invalidCases: readonly [string, string, string][] = [
    ["an unknown key", `colour = 1\n${ENTRY}`, "f.toml: colour: unknown key"],
    [
      "an unknown key of a section",
      `${ENTRY}\n[timeouts]\nfreshnes = "3s"`,
      "f.toml: timeouts.freshnes: unknown key",
    ],
    [
      "an unknown unit",
      `${ENTRY}\n[timeouts]\ndrain = "3 parsecs"`,
      'f.toml: timeouts.drain: "3 parsecs" is not a valid duration; expected a number and one of ms, s, m, h',
    ],
    [
      "a string without a unit",
      `${ENTRY}\n[limits]\nbody = "64"`,
      'f.toml: limits.body: "64" is not a valid size; expected a number and one of B, KB, MB, GB',
    ],
    [
      "a number instead of a string",
      `${ENTRY}\n[timeouts]\ndrain = 30`,
      "f.toml: timeouts.drain: Invalid input: expected string, received number",
    ],
    [
      "a missing value",
      ENTRY.replace(/name = .*/, ""),
      "f.toml: name: missing value; expected string",
    ],
    [
      "a missing section",
      ENTRY.replace(/\[store\][^]*/, ""),
      "f.toml: store: missing value; expected object",
    ],
    [
      "a host name instead of an IP address",
      ENTRY.replace("127.0.0.1:8080", "localhost:8080"),
      'f.toml: listen: "localhost:8080" is not a valid address; expected an IP address and a port',
    ],
    [
      "an advertised port 0",
      ENTRY.replace("10.0.1.1:7070", "10.0.1.1:0"),
      "f.toml: link.advertise: expected an IP address and a port other than 0",
    ],
    [
      "a heartbeat interval that is too long",
      `${ENTRY}\n[timeouts]\nheartbeat = "3s"`,
      "f.toml: timeouts.heartbeat: must be shorter than side_lost",
    ],
    [
      "a short token",
      `${ENTRY}\n[management]\nlisten = "127.0.0.1:1"\ntoken = "abc"`,
      "f.toml: management.token: must have at least 16 characters",
    ],
    ["an unknown role", 'role = "x"', "f.toml: role: must be"],
    ["a missing role", "", "f.toml: role: missing value"],
    ["invalid TOML syntax", "role = ", "f.toml: (document): line 1, column"],
    [
      "an invalid list element",
      SIDE.replace("10.0.1.1:7070", "x"),
      "f.toml: entries[0]: expected an IP address and a port other than 0",
    ],
  ];
  for (const [description, text, message] of invalidCases) {
    it(`report file, key and reason for ${description}`, () => {
      expect(validationErrorOf(text)).to.include(message);
    });
  }

  it("report a missing file", () => {
    const error = readSettings("/nonexistent/x.toml")._unsafeUnwrapErr();
    expect(error.message).to.include("/nonexistent/x.toml: (document): ENOENT");
  });

  it("never include a token in an error", () => {
    const text = `${ENTRY}\n[management]\nlisten = "127.0.0.1:1"\n` +
      `token = "short-secret"`;
    expect(validationErrorOf(text)).not.to.include("short-secret");
  });
});
