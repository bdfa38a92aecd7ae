import { expect } from "chai";
import type { AutomaticAction } from "@coltsfootreach/types";
import { createManagementApp } from "./app.ts";
import { createActionJournal, type NewAction } from "./journal.ts";
import { serveManagement } from "./serve.ts";
import type { EntryStatus, EntryView } from "./view.ts";

const TOKEN = "a-management-token";

const STATUS: EntryStatus = {
  entry: "entry-1",
  incarnation: "i1",
  nowMs: 10_000,
  configuration: { version: 5, sinceMs: 1, source: "watch" },
  newest: { version: 5, sinceMs: 4_000 },
  processes: [
    { process: "side-1", role: "side", version: 5, heardAtMs: 9_900 },
    { process: "side-2", role: "side", version: 3, heardAtMs: 9_800 },
  ],
  table: { version: 1, members: [], removals: [] },
  store: { reachable: true, sinceMs: 0 },
  expectedServers: ["a", "b"],
  presentServers: ["b", "c"],
};

const ACTION: NewAction = {
  kind: "eject",
  subject: "pot-dispatch-03",
  why: "most of its tasks failed",
  figures: { failureRatio: 0.9 },
  configurationVersion: 5,
  atMs: 1,
};

function createTestApp() {
  const journal = createActionJournal({ incarnation: "i1", limit: 10 });
  journal.record(ACTION);
  const view: EntryView = {
    status: () => STATUS,
    acts: journal.list,
    act: journal.find,
    top: () => ({ entry: "entry-1", nowMs: 1, tenants: [], servers: [] }),
    job: (tenant, key) =>
      tenant !== "t" || key !== "k/1" ? undefined : {
        tenant,
        key,
        class: "heat-check",
        state: "waiting",
        entry: "entry-1",
        tableVersion: 1,
        configurationVersion: 5,
        ageMs: 3,
        leftMs: 7,
        why: "waits for a slot",
        tasks: [{ index: 0, state: "waiting", attempts: 0, why: "no slot" }],
      },
  };
  return createManagementApp({ view, token: TOKEN });
}

async function get(path: string, authorization = `Bearer ${TOKEN}`) {
  const response = await createTestApp().request(path, {
    headers: { authorization },
  });
  const body = await response.json() as Readonly<Record<string, unknown>>;
  return { status: response.status, body };
}

describe("the management API", () => {
  const paths = ["/status", "/acts", "/acts/i1-1", "/top", "/jobs/t/k", "/x"];
  const headers = ["", "Bearer ", "Bearer x", TOKEN, `Bearer ${TOKEN}x`];
  it("rejects every request without the token", async () => {
    for (const path of paths) {
      for (const header of headers) {
        const { status, body } = await get(path, header);
        expect(status, `${path} ${header}`).to.equal(401);
        expect(JSON.stringify(body)).not.to.include(TOKEN);
      }
    }
  });

  it("reports lagging processes and differences from the inventory", async () => {
    const { body } = await get("/status");
    expect(body.laggards).to.deep.equal([{
      process: "side-2",
      role: "side",
      version: 3,
      heardAtMs: 9_800,
      behindMs: 6_000,
      overdue: true,
    }]);
    expect(body.missingServers).to.deep.equal(["a"]);
    expect(body.unexpectedServers).to.deep.equal(["c"]);
  });

  it("lists and explains automatic actions", async () => {
    expect((await get("/acts")).body).to.have.lengthOf(1);
    expect((await get("/acts/i1-1")).body).to.deep.include(ACTION);
    expect((await get("/acts/i1-9")).status).to.equal(404);
  });

  it("explains jobs and tasks, also when a key contains a slash", async () => {
    const job = await get("/jobs/t/k%2F1");
    expect(job.body).to.include({ key: "k/1", why: "waits for a slot" });
    const task = await get("/tasks/t/k%2F1/0");
    expect(task.body).to.include({ index: 0, why: "no slot" });
    expect((await get("/tasks/t/k%2F1/1")).status).to.equal(404);
    expect((await get("/jobs/t/none")).status).to.equal(404);
  });

  it("listens on a separate address", async () => {
    const address = { host: "127.0.0.1", port: 0 };
    const server = await serveManagement(createTestApp(), address);
    const response = await fetch(`http://${server.address}/top`);
    expect(response.status).to.equal(401);
    await response.body?.cancel();
    await server.close();
  });
});

describe("the action journal", () => {
  it("keeps only the newest actions up to its limit", () => {
    const journal = createActionJournal({ incarnation: "i", limit: 3 });
    for (let atMs = 0; atMs < 10; atMs++) journal.record({ ...ACTION, atMs });
    expect(journal.list().map((action) => action.atMs)).to.deep.equal([
      7,
      8,
      9,
    ]);
  });

  it("marks an action as undone only once", () => {
    const journal = createActionJournal({ incarnation: "i", limit: 3 });
    const { id } = journal.record(ACTION);
    journal.markUndone(id, { atMs: 50, figures: { refusedJobs: 3 } });
    journal.markUndone(id, { atMs: 60 });
    journal.markUndone("gone", { atMs: 60 });
    expect(journal.find(id)?.undoneAtMs).to.equal(50);
    expect(journal.find(id)?.figures)
      .to.deep.equal({ failureRatio: 0.9, refusedJobs: 3 });
  });

  it("assigns unique ids and ignores the id of the given action", () => {
    const journal = createActionJournal({ incarnation: "i", limit: 3 });
    const actionWithId: AutomaticAction = { ...ACTION, id: "" };
    expect(journal.record(actionWithId).id).to.equal("i-1");
    expect(journal.record(actionWithId).id).to.equal("i-2");
  });

  it("finds the newest action that is not undone", () => {
    const journal = createActionJournal({ incarnation: "i", limit: 9 });
    const activeEjection = (): AutomaticAction | undefined =>
      journal.findActive("eject", ACTION.subject);
    const first = journal.record(ACTION);
    const second = journal.record(ACTION);
    expect(activeEjection()?.id).to.equal(second.id);
    journal.markUndone(second.id, { atMs: 1 });
    expect(activeEjection()?.id).to.equal(first.id);
    journal.markUndone(first.id, { atMs: 1 });
    expect(activeEjection()).to.equal(undefined);
  });
});
