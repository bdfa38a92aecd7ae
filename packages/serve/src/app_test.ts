import { expect } from "chai";
import type { Reply } from "@coltsfootreach/types";
import { type Answered, createApp } from "./app.ts";

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

describe("the callers' interface", () => {
  let answered: Answered[];

  beforeEach(() => {
    answered = [];
  });

  function appOf(reply: () => Promise<Reply>, isReady = true) {
    return createApp({
      desk: {
        request: reply,
        isReady: () => isReady,
        metrics: () => "",
        answered: (done) => answered.push(done),
      },
      bodyBytes: 10_000,
      tasks: 10,
      keyLength: 100,
      deadlineMsOf: () => 1000,
      isTenant: () => true,
    });
  }

  async function submit(deadlineMs: number, reply: () => Promise<Reply>) {
    const app = appOf(reply);
    const body = { key: "k", class: "c", deadlineMs, tasks: [{ body: "b" }] };
    const response = await app.request("/v1/tenants/t/jobs", {
      method: "POST",
      body: JSON.stringify(body),
    });
    return await response.json() as { late: boolean };
  }

  it("gives an answer as it is when it comes in time", async () => {
    const answer = await submit(60_000, () => Promise.resolve(REPLY));
    expect(answer.late).to.equal(false);
  });

  it("marks an answer that reached this entry after its deadline", async () => {
    const answer = await submit(1, async () => {
      await new Promise((wake) => setTimeout(wake, 5));
      return REPLY;
    });
    expect(answer.late).to.equal(true);
    expect(answered[0]!.reply).to.have.nested.property("answer.late", true);
  });

  it("asks callers to close their connections while it drains", async () => {
    const path = "/v1/tenants/t/jobs/k";
    const ready = await appOf(() => Promise.resolve(REPLY)).request(path);
    expect(ready.headers.get("connection")).to.equal(null);
    const draining = appOf(() => Promise.resolve(REPLY), false);
    const answer = await draining.request(path);
    expect(answer.headers.get("connection")).to.equal("close");
  });
});
