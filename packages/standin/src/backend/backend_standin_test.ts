import { jobId } from "@coltsfootreach/types";
import { expect } from "chai";
import { once } from "node:events";
import { createServer, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import { Agent } from "undici";
import type { StartRecord } from "./task_log.ts";
import {
  type BackendStandin,
  createBackendStandin,
} from "./backend_standin.ts";

const LONG_TASK = JSON.stringify({ sleepMs: 60_000 });
const TASK = `${jobId({ tenant: "t/ø", key: "k%1?" })}\n7`;

/** What the stand-in's pages hold, together. */
interface Page {
  readonly counts?: Readonly<Record<string, number>>;
  readonly starts?: readonly StartRecord[];
  readonly state?: string;
}

describe("the backend server stand-in", () => {
  let backend: BackendStandin;
  let agent: Agent;

  beforeEach(async () => {
    backend = await createBackendStandin({ server: "b", slots: 2, speed: 10 });
    agent = new Agent({ connections: 8 });
  });

  afterEach(async () => {
    await agent.destroy();
    await backend.close();
  });

  it("runs tasks, answers, and records every start", async () => {
    expect(await post(TASK, "plain")).to.include({ text: "plain" });
    const work = JSON.stringify({ sleepMs: 20, echo: "x" });
    expect(await post(TASK, work)).to.include({ status: 200, text: "x" });
    expect(await post("f", '{"fail":true}')).to.include({ status: 500 });

    const { counts, starts } = await get("/standin/starts");
    expect(counts).to.deep.equal({ [TASK]: 2, f: 1 });
    expect(starts?.map((start) => start.id))
      .to.deep.equal([TASK, TASK, "f"]);
    expect(starts?.[0]?.class).to.equal("heat");
    expect(await get(`/tasks/${encodeURIComponent(TASK)}`)).to.deep.equal({
      state: "finished",
      outcome: { status: 200, body: "x" },
    });
  });

  it("refuses above its slots and frees them again", async () => {
    const running = ["a", "b"].map((id) => post(id, LONG_TASK));
    await started(2);
    expect(await post("c", "")).to.include({ status: 503, verdict: "notRun" });
    expect(await control("a", "stop")).to.equal(204);
    expect(await running[0]).to.include({ status: 500, text: "stopped" });
    expect(await post("c", "")).to.include({ status: 200 });
    expect(await control("b", "checkpoint")).to.equal(204);
    expect(await control("c", "throttle", '{"share":0.5}')).to.equal(404);
    await control("b", "stop");
    await running[1];
  });

  it("revokes a task unless it has started", async () => {
    expect(await revoke("a")).to.equal("revoked");
    expect(await post("a", "")).to.include({ status: 409, verdict: "notRun" });
    await post("b", "");
    expect(await revoke("b")).to.equal("finished");
    const running = post("c", LONG_TASK);
    await started(2);
    expect(await revoke("c")).to.equal("running");
    await control("c", "stop");
    await running;
    expect(await get("/tasks/a")).to.deep.equal({ state: "unknown" });
  });

  it("fails everything on demand", async () => {
    await control("", "", '{"failEverything":true}', "/standin/faults");
    expect(await post("a", "x")).to.include({ status: 500, verdict: "ran" });
  });

  it("never answers on a silent connection while new ones work", async () => {
    await post("a", "");
    const task = post("b", LONG_TASK).catch(() => "broken");
    await started(2);
    backend.setFaults({ silenceConnections: true });
    const lost = post("c", "").catch(() => "broken");
    const fresh = new Agent();
    expect(await revoke("b", fresh)).to.equal("running");
    await control("b", "stop", "", undefined, fresh);
    expect((await post("d", "x", fresh)).text).to.equal("x");
    expect((await get("/tasks/b", fresh)).state).to.equal("finished");
    await agent.destroy();
    expect(await Promise.all([task, lost])).to.deep.equal(["broken", "broken"]);
    await fresh.close();
  });

  it("announces itself again and again, and leaves", async () => {
    const heard: string[] = [];
    const side = createServer((request, response) => {
      heard.push(`${request.method} ${request.url}`);
      response.end();
    });
    side.listen(0, "127.0.0.1");
    await once(side, "listening");
    const { port } = side.address() as AddressInfo;
    const sideOrigin = `http://127.0.0.1:${port}`;
    const announced = await createBackendStandin({ server: "a b", sideOrigin });
    while (heard.length < 2) {
      await once(side, "request");
    }
    await announced.leave();
    expect(new Set(heard.slice(0, -1))).to.deep.equal(
      new Set(["POST /announcements"]),
    );
    expect(heard.at(-1)).to.equal("DELETE /announcements/a%20b");
    await announced.close();
    await stop(side);
  });

  async function started(count: number): Promise<void> {
    while (backend.starts().length < count) {
      await new Promise((resolve) => setTimeout(resolve, 5));
    }
  }

  async function post(id: string, body: string, by = agent) {
    const response = await by.request({
      origin: backend.announcement.origin,
      path: `/tasks/${encodeURIComponent(id)}`,
      method: "POST",
      headers: { "coltsfootreach-class": "heat" },
      body,
    });
    const verdict = response.headers["coltsfootreach-verdict"];
    const text = await response.body.text();
    return { status: response.statusCode, verdict, text };
  }

  async function get(path: string, by = agent): Promise<Page> {
    const { origin } = backend.announcement;
    const response = await by.request({ origin, path, method: "GET" });
    return await response.body.json() as Page;
  }

  async function control(
    id: string,
    action: string,
    body = "",
    path = `/tasks/${id}/${action}`,
    by = agent,
  ): Promise<number> {
    const { origin } = backend.announcement;
    const response = await by.request({ origin, path, method: "POST", body });
    await response.body.dump();
    return response.statusCode;
  }

  async function revoke(id: string, by = agent): Promise<string> {
    const { origin } = backend.announcement;
    const path = `/tasks/${id}/revocation`;
    const response = await by.request({ origin, path, method: "POST" });
    const { state } = await response.body.json() as { state: string };
    return state;
  }
});

async function stop(server: Server): Promise<void> {
  server.closeAllConnections();
  server.close();
  await once(server, "close");
}
