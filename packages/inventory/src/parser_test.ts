import { readFileSync } from "node:fs";
import { expect } from "chai";
import { formatEstate } from "./format.ts";
import { parseEstate } from "./parse.ts";
import { createEstateParser } from "./parser.ts";
import { splitText } from "./split.ts";

const DELTA = readFileSync(
  new URL("../../../examples/delta.toml", import.meta.url),
  "utf8",
);

/** The example with many more workers, so that it stands in parts. */
function createLongText(): string {
  const estate = parseEstate({ version: 1, text: DELTA })._unsafeUnwrap();
  const workers = Array.from({ length: 6_000 }, (_, i) => ({
    ...estate.workers[0]!,
    name: `worker-${String(i).padStart(2, "0")}`,
  }));
  return formatEstate({ ...estate, workers });
}

describe("the parser of daemons", () => {
  const text = createLongText();
  const broken: Readonly<Record<string, string>> = {
    "a second [rules]": `${text}\n[rules]\n`,
    "an unknown key": `x = 1\n${text}`,
    "a name used twice": text.replace('"worker-4001"', '"worker-4000"'),
    "a bad worker": text.replace('rack = "kiln-yard-r1"', "rack = 3"),
    "bad syntax": text.replace("slots = 8", "slots = "),
    "no tenants": text.replaceAll(/\[\[tenants\]\][^[]*/g, ""),
  };

  it("reads what the plain reader reads", async () => {
    expect(splitText(text).length).to.be.greaterThan(3);
    const parser = createEstateParser();
    const edited = text.replace(/drained = \[.*\]/, 'drained = ["a"]');
    expect(edited).not.to.equal(text);
    for (const [version, each] of [DELTA, text, edited, text].entries()) {
      const expected = parseEstate({ version, text: each })._unsafeUnwrap();
      if (version % 2 === 1) await parser.prepare({ version, text: each });
      const read = parser.parse({ version, text: each });
      expect(read._unsafeUnwrap()).to.deep.equal(expected);
    }
  });

  for (const [what, bad] of Object.entries(broken)) {
    it(`says the same as the plain reader of ${what}`, async () => {
      const expected = parseEstate({ version: 1, text: bad });
      const parser = createEstateParser();
      await parser.prepare({ version: 1, text: bad });
      const read = parser.parse({ version: 1, text: bad });
      expect(read._unsafeUnwrapErr().message)
        .to.equal(expected._unsafeUnwrapErr().message);
    });
  }
});
