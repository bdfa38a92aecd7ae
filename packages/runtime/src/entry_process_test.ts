import { createLog } from "@coltsfootreach/log";
import type { Job, QueueTable } from "@coltsfootreach/run";
import {
  createFakeClock,
  createMemoryStore,
  SAMPLE_REMOTE_FACTOR,
  SAMPLE_TIMING,
  sampleQueue,
  sampleStep,
} from "@coltsfootreach/standin";
import { expect } from "chai";
import { ok } from "neverthrow";
import { startEntry } from "./entry_process.ts";

const TABLE: QueueTable = { version: 1, queues: [], maxBodyBytes: 1000 };

const JOB: Job = {
  id: "5c0e7a21d94b36f8",
  payload: "p",
  timeoutMs: 200,
  steps: [sampleStep()],
};

/** Exceeds the time the load balancer needs to detect that an entry stops. */
const GRACE_MS = 3000;

describe("stopping an entry", () => {
  it("answers jobs on open connections until they are closed", async () => {
    const log = createLog({
      role: "entry",
      name: "test",
      incarnation: "1",
      level: "error",
      write() {},
    });
    const started = await startEntry({
      name: "test",
      listen: "127.0.0.1:0",
      store: createMemoryStore(createFakeClock()),
      document: { key: "configuration", decode: () => ok(TABLE) },
      timing: SAMPLE_TIMING,
      remoteFactor: SAMPLE_REMOTE_FACTOR,
      log,
    });
    const entry = started._unsafeUnwrap();
    let answer: unknown = "none";
    await entry.stop(GRACE_MS, {
      async close() {
        const pending = entry.submit(sampleQueue(), JOB);
        const timeout = new Promise((resolve) =>
          setTimeout(resolve, 500, "none")
        );
        answer = await Promise.race([pending.answer, timeout]);
      },
    });
    expect(answer).to.deep.include({ kind: "refused", reason: "overload" });
  });
});
