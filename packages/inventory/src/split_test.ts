import { Buffer } from "node:buffer";
import { expect } from "chai";
import fc from "fast-check";
import {
  MAX_PART_BYTES,
  MIN_PART_BYTES,
  splitConfigurationText,
} from "./split.ts";

const SEED = 20_261_204;

function createText(tables: number): string {
  return Array.from(
    { length: tables },
    (_, i) => `[[workers]]\nname = "værk-${i}"\n`,
  ).join("");
}

describe("splitting a configuration text", () => {
  it("preserves any text", () => {
    const line = fc.constantFrom("[a]\n", "[", "\n", "é = 1\n", "\n[[b]]\n");
    fc.assert(
      fc.property(fc.array(line), (lines) => {
        const text = lines.join("");
        expect(splitConfigurationText(text).join("")).to.equal(text);
      }),
      { seed: SEED },
    );
  });

  it("does not split a short text", () => {
    expect(splitConfigurationText("a = 1\n[b]\n")).to.deep.equal([
      "a = 1\n[b]\n",
    ]);
    expect(splitConfigurationText("")).to.deep.equal([""]);
  });

  it("splits before tables and keeps parts within the size limits", () => {
    const parts = splitConfigurationText(createText(60_000));
    expect(parts.join("")).to.equal(createText(60_000));
    for (const [position, part] of parts.entries()) {
      const bytes = Buffer.byteLength(part);
      expect(part.startsWith("[[workers]]")).to.equal(true);
      expect(bytes).to.be.at.most(MAX_PART_BYTES);
      if (position < parts.length - 1) {
        expect(bytes).to.be.at.least(MIN_PART_BYTES);
      }
    }
  });

  it("splits by content, so that a removal changes few parts", () => {
    const text = createText(60_000);
    const before = new Set(splitConfigurationText(text));
    const edited = text.replace('[[workers]]\nname = "værk-30000"\n', "");
    const changed = splitConfigurationText(edited).filter((part) =>
      !before.has(part)
    );
    expect(changed.length).to.be.within(1, 2);
  });
});
