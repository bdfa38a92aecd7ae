import { expect } from "chai";
import {
  POLICIES,
  PROFILES,
  runTrial,
  SCENARIOS,
  type TrialReport,
} from "./index.ts";

function run(policyName: string, scenarioName: string): TrialReport {
  return runTrial({
    profile: PROFILES[0]!,
    scenario: SCENARIOS.find((one) => one.name === scenarioName)!,
    load: 0.6,
    seed: 3,
    durationMs: 40_000,
    policyName,
    createPolicy: POLICIES.find((one) => one.name === policyName)!.create,
    order: "leastWork",
  });
}

describe("runTrial", () => {
  for (const { name } of POLICIES) {
    it(`ends every job under ${name}, never before its ideal`, () => {
      const report = run(name, "plain");
      expect(report.messages.starts).to.equal(report.tasks);
      expect(report.messages.results).to.equal(report.tasks);
      expect(report.responseOverIdeal.jobs).to.equal(report.reportedJobs);
      expect(report.responseOverIdeal.p50).to.be.at.least(0.98);
    });
  }

  it("repeats itself for the same seed", () => {
    expect(run("expected-delay", "burst")).to.deep.equal(
      run("expected-delay", "burst"),
    );
  });

  it("ejects a failing side before it costs 2% of the tasks", () => {
    const report = run("expected-delay", "failing-side");
    expect(report.failedTaskShare).to.be.greaterThan(0);
    expect(report.failedTaskShare).to.be.below(0.02);
  });

  it("does better than every baseline at the same load", () => {
    const best = run("expected-delay", "plain").responseOverIdeal;
    for (const { name } of POLICIES.slice(0, -1)) {
      const baseline = run(name, "plain").responseOverIdeal;
      expect(best.p50, name).to.be.below(baseline.p50);
      expect(best.p99, name).to.be.below(baseline.p99);
    }
  });
});
