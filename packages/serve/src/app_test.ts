import { expect } from "chai";
import type { Reply } from "@coltsfootreach/types";
import { type AnsweredSubmission, createCallerApp } from "./app.ts";

const REPLY: Reply = {
  kind: "answered",
  answer: {
    key: "k",
    tenant: "t",
    state: "complete",
    late: false,
    verdict: "ran",
    outcomes: [{ index: 0, state: "complete", verdict: "ran", body: "b" }],
  },
};

describe("the HTTP API for callers", () => {
  let submissions: AnsweredSubmission[];

  beforeEach(() => {
    submissions = [];
  });

  function createTestApp(reply: () => Promise<Reply>, isReady = true) {
    return createCallerApp({
      jobService: {
        request: reply,
        isReady: () => isReady,
        metrics: () => "",
        answered: (submission) => submissions.push(submission),
      },
      bodyBytes: 10_000,
      tasks: 10,
      keyLength: 100,
      deadlineMsOf: () => 1000,
      isKnownTenant: () => true,
    });
  }

  async function submit(deadlineMs: number, reply: () => Promise<Reply>) {
    const app = createTestApp(reply);
    const body = { key: "k", class: "c", deadlineMs, tasks: [{ body: "b" }] };
    const response = await app.request("/v1/tenants/t/jobs", {
      method: "POST",
      body: JSON.stringify(body),
    });
    return await response.json() as { late: boolean };
  }

  it("returns an answer unchanged when it arrives before its deadline", async () => {
    const answer = await submit(60_000, () => Promise.resolve(REPLY));
    expect(answer.late).to.equal(false);
  });

  it("marks an answer as late when it arrives after its deadline", async () => {
    const answer = await submit(1, async () => {
      await new Promise((resolve) => setTimeout(resolve, 5));
      return REPLY;
    });
    expect(answer.late).to.equal(true);
    expect(submissions[0]!.reply).to.have.nested.property("answer.late", true);
  });

  it("sends `connection: close` while the entry is draining", async () => {
    const path = "/v1/tenants/t/jobs/k";
    const ready = await createTestApp(() => Promise.resolve(REPLY)).request(
      path,
    );
    expect(ready.headers.get("connection")).to.equal(null);
    const draining = createTestApp(() => Promise.resolve(REPLY), false);
    const answer = await draining.request(path);
    expect(answer.headers.get("connection")).to.equal("close");
  });
});
