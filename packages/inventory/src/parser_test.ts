import { readFileSync } from "node:fs";
import { expect } from "chai";
import { formatConfiguration } from "./format.ts";
import { parseConfiguration } from "./parse.ts";
import { createConfigurationParser } from "./parser.ts";
import { splitConfigurationText } from "./split.ts";

const DELTA = readFileSync(
  new URL("../../../examples/delta.toml", import.meta.url),
  "utf8",
);

/** The example with 6,000 workers, so that it is split into several parts. */
function createLongText(): string {
  const configuration = parseConfiguration({ version: 1, text: DELTA })
    ._unsafeUnwrap();
  const workers = Array.from({ length: 6_000 }, (_, i) => ({
    ...configuration.workers[0]!,
    name: `worker-${String(i).padStart(2, "0")}`,
  }));
  return formatConfiguration({ ...configuration, workers });
}

describe("the incremental parser", () => {
  const text = createLongText();
  const invalidTexts: Readonly<Record<string, string>> = {
    "a second [rules]": `${text}\n[rules]\n`,
    "an unknown key": `x = 1\n${text}`,
    "a duplicate name": text.replace('"worker-4001"', '"worker-4000"'),
    "an invalid worker": text.replace('rack = "kiln-yard-r1"', "rack = 3"),
    "invalid syntax": text.replace("slots = 8", "slots = "),
    "no tenants": text.replaceAll(/\[\[tenants\]\][^[]*/g, ""),
  };

  it("parses the same as the parser of whole texts", async () => {
    expect(splitConfigurationText(text).length).to.be.greaterThan(3);
    const parser = createConfigurationParser();
    const edited = text.replace(/drained = \[.*\]/, 'drained = ["a"]');
    expect(edited).not.to.equal(text);
    for (const [version, input] of [DELTA, text, edited, text].entries()) {
      const expected = parseConfiguration({ version, text: input })
        ._unsafeUnwrap();
      if (version % 2 === 1) await parser.prepare({ version, text: input });
      const result = parser.parse({ version, text: input });
      expect(result._unsafeUnwrap()).to.deep.equal(expected);
    }
  });

  for (const [description, invalidText] of Object.entries(invalidTexts)) {
    it(`reports the same error as for whole texts: ${description}`, async () => {
      const expected = parseConfiguration({ version: 1, text: invalidText });
      const parser = createConfigurationParser();
      await parser.prepare({ version: 1, text: invalidText });
      const result = parser.parse({ version: 1, text: invalidText });
      expect(result._unsafeUnwrapErr().message)
        .to.equal(expected._unsafeUnwrapErr().message);
    });
  }
});
