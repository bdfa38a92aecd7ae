import { expect } from "chai";
import fc from "fast-check";
import {
  formatDuration,
  formatSize,
  parseDuration,
  parseSize,
} from "./unit.ts";

const SEED = 20_261_204;

describe("units", () => {
  it("parse durations and sizes", () => {
    expect(parseDuration("250ms")).to.equal(250);
    expect(parseDuration("1.5s")).to.equal(1500);
    expect(parseDuration("10 m")).to.equal(600_000);
    expect(parseSize("64MB")).to.equal(67_108_864);
  });

  for (const text of ["", "ms", "3", "-3s", "3S", "3s 4s", "1e3ms", "NaNs"]) {
    it(`reject "${text}" as a duration`, () => {
      expect(parseDuration(text)).to.equal(undefined);
    });
  }

  it("parse their own formatted output", () => {
    fc.assert(
      fc.property(fc.nat(), (value) => {
        expect(parseDuration(formatDuration(value))).to.equal(value);
        expect(parseSize(formatSize(value))).to.equal(value);
      }),
      { seed: SEED },
    );
  });
});
