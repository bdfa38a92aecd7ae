import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { expect } from "chai";
import { Hono } from "hono";
import {
  createManagementApp,
  type EntryView,
  type ManagementServer,
  serveManagement,
} from "@coltsfootreach/manage";
import { createKvStandin, type KvStandin } from "@coltsfootreach/standin";
import { createEtcdStore } from "@coltsfootreach/store";
import type { Answer, AutomaticAction } from "@coltsfootreach/types";
import { runCli } from "./cli.ts";

const TOKEN = "a-token-of-the-operators";
const LOOPBACK = { host: "127.0.0.1", port: 0 };
const EXAMPLES = new URL("../../../examples/", import.meta.url);
const DELTA = readFileSync(new URL("delta.toml", EXAMPLES), "utf8");

const ACT: AutomaticAction = {
  id: "i1-1",
  kind: "eject",
  subject: "pot-dispatch-03",
  why: "9 of its last 10 tasks failed",
  figures: { failureRatio: 0.9 },
  configurationVersion: 1,
  atMs: 0,
};

const ANSWER: Answer = {
  key: "k1",
  tenant: "kiln-crews",
  state: "complete",
  late: false,
  verdict: "ran",
  outcomes: [
    { index: 0, state: "complete", verdict: "ran", body: "warm" },
    { index: 1, state: "complete", verdict: "ran", body: "cold" },
  ],
};

/** What the fake entry says; tests change it. */
const entry = { version: 0, sideVersion: 0 };

const VIEW: EntryView = {
  status: () => ({
    entry: "entry-1",
    incarnation: "i1",
    nowMs: 5_000,
    configuration: { version: entry.version, sinceMs: 1_000, source: "watch" },
    newest: { version: entry.version, sinceMs: 1_000 },
    processes: [{
      process: "side-1",
      role: "side",
      version: entry.sideVersion,
      heardAtMs: 4_900,
    }],
    table: { version: 1, members: [], removals: [] },
    store: { reachable: true, sinceMs: 0 },
    expectedServers: ["pot-dispatch-01"],
    presentServers: ["pot-dispatch-02"],
  }),
  acts: () => [ACT],
  act: (id) => id === ACT.id ? ACT : undefined,
  top: () => ({
    entry: "entry-1",
    nowMs: 5_000,
    tenants: [{
      tenant: "kiln-crews",
      class: "heat-check",
      waiting: 3,
      running: 2,
      ended: 7,
      failed: 1,
      late: 0,
      refused: 0,
      response: {
        count: 7,
        p50: 80,
        p99: 200,
        p999: 210,
        max: 211,
        buckets: [{ upTo: 100, count: 5 }, { upTo: 300, count: 2 }],
      },
    }],
    servers: [{
      server: "pot-dispatch-02",
      side: "side-1",
      worker: "worker-02",
      dataCentre: "kiln-yard",
      state: "in",
      slots: 8,
      running: 2,
      queued: 0,
      failureRatio: 0,
    }],
  }),
  job: (tenant, key) =>
    tenant !== "kiln-crews" || key !== "k1" ? undefined : {
      tenant,
      key,
      class: "heat-check",
      state: "waiting",
      entry: "entry-1",
      tableVersion: 1,
      configurationVersion: 1,
      ageMs: 10,
      leftMs: 90,
      why: "all slots are busy",
      tasks: [{ index: 0, state: "waiting", attempts: 0, why: "no slot" }],
    },
};

/** Tenants that jobs were submitted for. */
const tenants: string[] = [];

/** The callers' interface, as far as the commands use it. */
function createCallersApp(received: unknown[]): Hono {
  const app = new Hono();
  app.post("/v1/tenants/:tenant/jobs", async (context) => {
    received.push(await context.req.json());
    tenants.push(context.req.param("tenant"));
    if (context.req.param("tenant") !== "kiln-crews") {
      return context.json({
        code: "unknownTenant",
        verdict: "notRun",
        reason: "no such tenant",
      }, 404);
    }
    return context.req.query("wait") === "0"
      ? context.json({ kind: "pending", done: 0, of: 2 }, 202)
      : context.json(ANSWER);
  });
  app.get("/v1/tenants/:tenant/jobs/:key", (context) => context.json(ANSWER));
  app.delete(
    "/v1/tenants/:tenant/jobs/:key",
    (context) => context.json({ ...ANSWER, state: "failed" }),
  );
  return app;
}

describe("the command line", () => {
  let standin: KvStandin;
  let management: ManagementServer;
  let callers: ManagementServer;
  let folder: string;
  let nowMs: number;
  let tokens: number;
  const received: unknown[] = [];

  beforeEach(async () => {
    standin = await createKvStandin();
    const app = createManagementApp({ view: VIEW, token: TOKEN });
    management = await serveManagement(app, LOOPBACK);
    callers = await serveManagement(createCallersApp(received), LOOPBACK);
    folder = mkdtempSync(join(tmpdir(), "coltsfootreach-cli-"));
    nowMs = 0;
    tokens = 0;
    Object.assign(entry, { version: 0, sideVersion: 0 });
    writeSettings(`http://${callers.address}`);
  });

  afterEach(async () => {
    await callers.close();
    await management.close();
    await standin.close();
    rmSync(folder, { recursive: true });
  });

  function write(name: string, text: string): string {
    const file = join(folder, name);
    writeFileSync(file, text);
    return file;
  }

  function writeSettings(...entries: readonly string[]): void {
    write(
      "operator.toml",
      `role = "operator"
entries = ${JSON.stringify(entries)}
[store]
endpoints = ["${standin.address}"]
timeout = "200ms"
[management]
endpoints = ["http://${management.address}"]
token = "${TOKEN}"
`,
    );
  }

  async function run(...args: readonly string[]) {
    const out: string[] = [];
    const err: string[] = [];
    const code = await runCli(args, {
      env: {
        COLTSFOOTREACH_SETTINGS: join(folder, "operator.toml"),
        USER: "op",
      },
      out: (text) => out.push(text),
      err: (text) => err.push(text),
      connectStore: ({ endpoints, timeoutMs }) => {
        const store = createEtcdStore({
          endpoints,
          timeoutMs,
          watchSilentMs: 10_000,
        });
        return { store, close: store.close };
      },
      now: () => nowMs,
      sleep: (ms) => {
        nowMs += ms;
        return Promise.resolve();
      },
      newToken: () => `token-${++tokens}`,
    });
    expect(err.join("").includes("\n"), err.join("")).to.equal(false);
    return { code, out: out.join("\n"), err: err.join("\n") };
  }

  async function show(): Promise<string> {
    return (await run("config", "show")).out;
  }

  it("takes a configuration from first to rolled back", async () => {
    const first = write("a.toml", DELTA);
    expect((await run("config", "apply", first)).out)
      .to.equal("accepted as version 1");
    const edited = (await show()).replace("weight = 2", "weight = 3");
    expect(edited).to.match(/^base_version = 1\n/);
    const second = write("b.toml", edited);
    const plan = await run("config", "plan", second);
    expect(plan.out).to.include("~ tenants kiln-crews: weight 2 -> 3");
    expect(plan.out).to.include("notice: kiln-crews share when all have work");
    const applied = await run("config", "apply", second, "--note", "more");
    expect(applied.out).to.equal("accepted as version 2");
    expect((await run("config", "rollback", "1")).out)
      .to.equal("accepted as version 3");
    expect(await show()).to.include("weight = 2");
    const history = await run("config", "history", "--json");
    expect(JSON.parse(history.out)).to.deep.include.members([{
      ...JSON.parse(history.out)[1],
      version: 2,
      author: "op",
      note: "more",
    }]);
  });

  it("takes options before a command of two words", async () => {
    const first = write("a.toml", DELTA);
    const settings = join(folder, "operator.toml");
    expect((await run("--settings", settings, "config", "apply", first)).out)
      .to.equal("accepted as version 1");
  });

  it("shows the loser of a race what the winner changed", async () => {
    await run("config", "apply", write("a.toml", DELTA));
    const text = await show();
    const mine = write("mine.toml", text.replace("weight = 2", "weight = 5"));
    const other = write(
      "other.toml",
      text.replace("max_queued = 20000", "max_queued = 9"),
    );
    await run("config", "apply", other, "--author", "rival");
    const lost = await run("config", "apply", mine);
    expect(lost.code).to.equal(1);
    expect(lost.out).to.include("version 2 by rival");
    expect(lost.out)
      .to.include("~ tenants kiln-crews: maxQueued 20000 -> 9");
    expect(await show()).to.include("weight = 2");
  });

  it("asks for the base version of a file that names none", async () => {
    const file = write("a.toml", DELTA);
    await run("config", "apply", file);
    const changed = write("b.toml", DELTA.replace("weight = 2", "weight = 4"));
    const refused = await run("config", "apply", changed);
    expect(refused.code).to.equal(2);
    expect(refused.err).to.include("give --base (version 1 is in force)");
    const applied = await run("config", "apply", changed, "--base", "1");
    expect(applied.code).to.equal(0);
  });

  it("accepts once when the store's answer was lost", async () => {
    await run("config", "apply", write("a.toml", DELTA));
    await standin.setFaults({ lostAnswers: 2 });
    const held = await run("hold", "eject");
    expect(held.out).to.equal(
      "accepted as version 2\n" +
        "  notice: eject is held: no new ejections; existing ones stay in force",
    );
    expect(await show()).to.include('held = ["eject"]');
  });

  it("says in one line that the store is out", async () => {
    await standin.setFaults({ outage: "unavailable" });
    const file = write("a.toml", DELTA);
    const failed = await run("config", "apply", file);
    expect(failed.code).to.equal(1);
    expect(failed.err).to.include("coltsfootreach: the store gave no answer");
    expect(failed.out).to.equal("");
  });

  it("waits until a version is in force and names who lags", async () => {
    const file = write("a.toml", DELTA);
    Object.assign(entry, { version: 1, sideVersion: 0 });
    const lagging = await run("config", "apply", file, "--wait", "2s");
    expect(lagging.code).to.equal(1);
    expect(lagging.out)
      .to.include("accepted as version 1\nnot in force everywhere: side-1");
    const status = await run("config", "status");
    expect(status.code).to.equal(1);
    expect(status.out).to.include(
      "laggard: side-1 has version 0 and takes no new work",
    );
    expect(status.out).to.include(
      "expected but not present: pot-dispatch-01\n" +
        "present but not in the inventory: pot-dispatch-02",
    );
    entry.sideVersion = 1;
    const again = await run("config", "apply", file, "--wait");
    expect(again.out).to.include("in force everywhere");
    expect((await run("config", "status")).code).to.equal(0);
  });

  it("edits rules by command, each edit once", async () => {
    await run("config", "apply", write("a.toml", DELTA));
    expect((await run("drain", "pot-dispatch-02")).out).to.include(
      "notice: pot-dispatch-02 gets no new work; 2 running tasks end as usual",
    );
    expect((await run("drain", "typo")).out)
      .to.include("warning: typo is drained, but no such backend server");
    expect((await run("drain", "pot-dispatch-02")).out)
      .to.include("unchanged");
    expect((await run("undo", ACT.id)).code).to.equal(0);
    expect((await run("undrain", "pot-dispatch-02")).code).to.equal(0);
    const text = await show();
    expect(text).to.include('drained = ["typo"]');
    expect(text).to.include('never_ejected = ["pot-dispatch-03"]');
  });

  it("keeps all of many rule edits that race", async () => {
    await run("config", "apply", write("a.toml", DELTA));
    const names = ["01", "02", "03"].map((name) => `pot-dispatch-${name}`);
    const codes = await Promise.all(names.map((name) => run("drain", name)));
    expect(codes.map(({ code }) => code)).to.deep.equal([0, 0, 0]);
    const text = await show();
    for (const name of names) expect(text).to.include(`"${name}"`);
  });

  it("lists and explains what the entries know", async () => {
    expect((await run("acts")).out).to.include("9 of its last 10 tasks failed");
    expect((await run("explain", "act", "i1-1")).out)
      .to.include("failureRatio = 0.9");
    const job = ["explain", "job", "k1", "--tenant", "kiln-crews"];
    expect((await run(...job)).out).to.include("all slots are busy");
    const task = ["explain", "task", "k1/0", "--tenant", "kiln-crews"];
    expect((await run(...task)).out).to.include("no slot");
    const gone = await run("explain", "act", "none");
    expect(gone).to.include({ code: 1, out: "" });
    expect(gone.err).to.include("no such act is kept here");
    expect((await run("explain", "job", "k1")).code).to.equal(2);
    expect((await run("top")).out).to.match(/<= 100 ms\s+5\s+#+/);
  });

  it("submits, reads and cancels, trying entries in turn", async () => {
    const job = { tenant: "kiln-crews", class: "heat-check", tasks: [] };
    const file = write("job.json", JSON.stringify({ ...job, key: "k1" }));
    writeSettings("http://127.0.0.1:1", `http://${callers.address}`);
    const submitted = await run("submit", file);
    expect(submitted.code).to.equal(0);
    expect(submitted.out).to.match(/0\s+complete\s+ran.*warm\n1\s+complete/);
    expect(received.at(-1)).to.deep.include({ key: "k1", class: "heat-check" });
    const pending = await run("submit", file, "--no-wait");
    expect(pending.out).to.equal("pending: 0 of 2 tasks have ended");
    const refused = await run("submit", file, "--tenant", "nobody");
    expect(refused.code).to.equal(1);
    expect(refused.out).to.include("refused: unknownTenant: no such tenant");
    const odd = await run("submit", file, "--tenant", "007", "--key=1e3");
    expect(odd.code).to.equal(1);
    expect(tenants.at(-1)).to.equal("007");
    expect(received.at(-1)).to.include({ key: "1e3" });
    const name = ["k1", "--tenant", "kiln-crews"];
    expect((await run("read", ...name)).code).to.equal(0);
    expect((await run("cancel", ...name)).code).to.equal(0);
  });

  it("names what is wrong with a job's file", async () => {
    const bad = write("bad.json", '{"tenant":"t","class":"c"}');
    expect((await run("submit", bad)).err)
      .to.include("bad.json: tasks: missing value");
    const broken = write("broken.json", "{");
    expect((await run("submit", broken)).code).to.equal(1);
  });

  const wrong: readonly (readonly string[])[] = [
    [],
    ["config"],
    ["config", "chekc"],
    ["config", "check"],
    ["config", "check", "a", "b"],
    ["config", "rollback", "x"],
    ["config", "apply", "a", "--wait", "soon"],
    ["config", "import", "a"],
    ["hold", "x"],
    ["acts", "--bogus"],
    ["explain", "cat", "x"],
    ["read", "k"],
  ];
  for (const args of wrong) {
    it(`exits with 2 on "${args.join(" ")}"`, async () => {
      const result = await run(...args);
      expect(result.code).to.equal(2);
      expect(result.out).to.equal("");
      expect(result.err).to.match(/^coltsfootreach: /);
    });
  }
});
