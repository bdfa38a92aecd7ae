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

/** Longer than the flush delay. */
const FLUSH_WAIT_MS = 300;

describe("openLineWriter", () => {
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

  async function readFlushedOutput(): Promise<string> {
    await new Promise((resolve) => setTimeout(resolve, FLUSH_WAIT_MS));
    return readFileSync(path, "utf8");
  }

  it("writes lines asynchronously and in order", async () => {
    const writer = openLineWriter({ descriptor });
    writer.write("one\n");
    writer.write("two\n");
    expect(readFileSync(path, "utf8")).to.equal("");
    expect(await readFlushedOutput()).to.equal("one\ntwo\n");
  });

  it("drops lines beyond the buffer limit and reports the count", async () => {
    const writer = openLineWriter({ descriptor, maxBufferedChars: 8 });
    writer.write("12345\n");
    writer.write("12345\n");
    writer.write("12345\n");
    expect(await readFlushedOutput()).to.equal("12345\n");
    writer.write("next\n");
    expect(await readFlushedOutput()).to.equal(
      '12345\n{"message":"log lines dropped","lines":2}\nnext\n',
    );
  });
});
