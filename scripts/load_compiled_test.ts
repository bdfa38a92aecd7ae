/**
 * A signal that arrives while the program is still loading, before it has set
 * its own handlers, must not end the process.
 */
import { type ChildProcess, spawn } from "node:child_process";
import { once } from "node:events";
import { copyFileSync, mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import path from "node:path";
import { createInterface } from "node:readline";
import { expect } from "chai";

/** Blocks the event loop after a line, as loading a large program does. */
const SLOW_PROGRAM = `
  const fs = require("node:fs");
  fs.writeSync(1, "loading\\n");
  Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, 500);
  fs.writeSync(1, "loaded\\n");
  setTimeout(() => fs.writeSync(1, "running\\n"), 50);
`;

describe("load_compiled", () => {
  let folder: string;
  let child: ChildProcess;

  beforeEach(() => {
    folder = mkdtempSync(path.join(tmpdir(), "load-compiled-"));
    const loader = path.join(folder, "coltsfootreach.cjs");
    copyFileSync(
      new URL("./load_compiled.cjs", import.meta.url),
      loader,
    );
    writeFileSync(path.join(folder, "program.cjs"), SLOW_PROGRAM);
    child = spawn(process.execPath, [loader, "entry"], {
      stdio: ["ignore", "pipe", "inherit"],
    });
  });

  afterEach(() => {
    child.kill("SIGKILL");
    rmSync(folder, { recursive: true });
  });

  it("survives SIGHUP while the program is loading", async () => {
    const lines: string[] = [];
    createInterface({ input: child.stdout! }).on("line", (line) => {
      lines.push(line);
      if (line === "loading") child.kill("SIGHUP");
    });
    const [exitCode, signal] = await once(child, "close");
    expect({ lines, exitCode, signal }).to.deep.equal({
      lines: ["loading", "loaded", "running"],
      exitCode: 0,
      signal: null,
    });
  });
});
