import {
  closeSync,
  mkdtempSync,
  openSync,
  readFileSync,
  rmSync,
} from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { expect } from "chai";
import { openLineWriter } from "./line_writer.ts";

/** Longer than lines are gathered. */
const WRITTEN_MS = 300;

describe("the line writer", () => {
  let folder: string;
  let path: string;
  let descriptor: number;

  beforeEach(() => {
    folder = mkdtempSync(join(tmpdir(), "lines-"));
    path = join(folder, "out");
    descriptor = openSync(path, "w");
  });

  afterEach(() => {
    closeSync(descriptor);
    rmSync(folder, { recursive: true });
  });

  async function written(): Promise<string> {
    await new Promise((resolve) => setTimeout(resolve, WRITTEN_MS));
    return readFileSync(path, "utf8");
  }

  it("writes lines in order, later", async () => {
    const writer = openLineWriter({ descriptor });
    writer.write("one\n");
    writer.write("two\n");
    expect(readFileSync(path, "utf8")).to.equal("");
    expect(await written()).to.equal("one\ntwo\n");
  });

  it("leaves out what does not fit and says how much", async () => {
    const writer = openLineWriter({ descriptor, maxWaiting: 8 });
    writer.write("12345\n");
    writer.write("12345\n");
    writer.write("12345\n");
    expect(await written()).to.equal("12345\n");
    writer.write("next\n");
    expect(await written()).to.equal(
      '12345\n{"message":"log lines dropped","lines":2}\nnext\n',
    );
  });
});
