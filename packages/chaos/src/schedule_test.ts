import { expect } from "chai";
import { planActs } from "./plans.ts";
import { drawSchedule } from "./schedule.ts";
import { drawWorkload } from "./workload.ts";

const OPTIONS = { seed: 3, lengthMs: 30_000, entries: 3, sides: 6 };

describe("a schedule of faults", () => {
  it("follows from its seed", () => {
    const schedule = drawSchedule(OPTIONS);
    expect(schedule).to.deep.equal(drawSchedule(OPTIONS));
    expect(schedule).not.to.deep.equal(drawSchedule({ ...OPTIONS, seed: 4 }));
  });

  it("stays within the load, in order", () => {
    const times = drawSchedule(OPTIONS).map(({ atMs }) => atMs);
    expect(times).to.deep.equal([...times].sort((a, b) => a - b));
    expect(Math.max(...times)).to.be.at.most(OPTIONS.lengthMs);
  });

  it("comes to every kind of fault", () => {
    const acts = drawSchedule({ ...OPTIONS, lengthMs: 1_000_000 });
    const kinds = new Set(acts.map(({ act }) => act.kind));
    expect([...kinds]).to.have.members([
      "kill",
      "pause",
      "replace",
      "killWorker",
      "cut",
      "silenceLinks",
      "dropLinks",
      "silenceBackend",
      "backend",
      "store",
    ]);
  });

  it("replaces every process once in a rolling plan", () => {
    const acts = planActs("rolling", OPTIONS);
    expect(acts).to.have.length(9);
    expect(new Set(acts.map(({ act }) => JSON.stringify(act)))).to.have
      .property("size", 9);
  });
});

describe("a load", () => {
  const options = { seed: 3, lengthMs: 60_000, isPlain: false };

  it("follows from its seed and names every job once", () => {
    const jobs = drawWorkload(options);
    expect(jobs).to.deep.equal(drawWorkload(options));
    expect(new Set(jobs.map(({ key }) => key)).size).to.equal(jobs.length);
  });

  it("has what callers do wrong or early only when asked to", () => {
    const plain = drawWorkload({ ...options, isPlain: true });
    const isEarly = (job: (typeof plain)[number]) =>
      job.cancelAfterMs !== undefined || job.dropAfterMs !== undefined ||
      job.copiesAfterMs.length > 0;
    expect(plain.filter(isEarly)).to.deep.equal([]);
    expect(drawWorkload(options).filter(isEarly)).not.to.deep.equal([]);
  });
});
