import { expect } from "chai";
import {
  createConfigurationHolder,
  MAX_LAG_MS,
} from "@coltsfootreach/configure";
import { DEFAULT_RULES, type ParsedConfiguration } from "@coltsfootreach/types";
import { ok } from "neverthrow";
import { createConfigurationDesk } from "./configuration_desk.ts";
import { createSides } from "./sides.ts";

const ESTATE: ParsedConfiguration = {
  version: 1,
  dataCentres: [],
  workers: [],
  servers: [],
  tenants: [],
  classes: [],
  rules: DEFAULT_RULES,
};

describe("the configuration of an entry", () => {
  const holder = createConfigurationHolder({ parse: () => ok(ESTATE) });
  const sides = createSides();
  const identity = {
    side: "s",
    incarnation: "s1",
    dataCentre: "a",
    rack: "r",
    worker: "w",
  };
  const side = sides.hello(
    { kind: "hello", identity, registration: 1, draining: false },
    0,
  );
  let told: string[];

  function createDesk() {
    told = [];
    return createConfigurationDesk({
      sides,
      connectedPeers: new Set(),
      toSide: (name) => told.push(name),
      toPeer: () => {},
      // Nothing else of an entry's options is asked for.
      options: { excerptForSides: () => "" } as never,
    }, holder);
  }

  function take(desk: ReturnType<typeof createDesk>, version: number) {
    const nowMs = version * 1_000;
    desk.take({ version, text: `${version}` }, "watch", nowMs);
  }

  it("finds a side that is behind while versions keep coming", () => {
    const desk = createDesk();
    for (let version = 1; version <= 4; version++) take(desk, version);
    expect(desk.isLagging(side, 999 + MAX_LAG_MS)).to.equal(false);
    expect(desk.isLagging(side, 1_000 + MAX_LAG_MS)).to.equal(true);
    side.configurationVersion = 4;
    expect(desk.isLagging(side, 60_000)).to.equal(false);
  });

  it("goes on with what its process has in force", () => {
    side.configurationVersion = 0;
    createDesk().updateSide(side);
    expect(told).to.deep.equal(["s1"]);
  });
});
