import { expect } from "chai";
import { createQuota, type Quota } from "./index.ts";

const ENTRIES = 3;
const PER_SECOND = 90;

function createTestQuota(queued: number): Quota {
  return createQuota({
    limitPerSecondOf: (tenant) => tenant === "free" ? 0 : PER_SECOND,
    entries: () => ENTRIES,
    queued: () => queued,
  });
}

/** Counts starts in the tenth second, with no lack of tasks to start. */
function countStartsInTenthSecond(
  quota: Quota,
  updateDemands: (nowMs: number) => void,
) {
  let starts = 0;
  for (let nowMs = 0; nowMs < 10_000; nowMs++) {
    updateDemands(nowMs);
    while (quota.nextStartAtMs("a", nowMs) <= nowMs) {
      quota.start("a", nowMs);
      if (nowMs >= 9_000) starts++;
    }
  }
  return starts;
}

describe("createQuota", () => {
  it("uses its equal share while other entries report no demand", () => {
    const starts = countStartsInTenthSecond(createTestQuota(1_000), () => {});
    expect(starts).to.be.within(29, 31);
  });

  it("borrows the rate that other entries report as unused", () => {
    const quota = createTestQuota(1_000);
    const starts = countStartsInTenthSecond(quota, (nowMs) => {
      quota.recordDemands("e2", [], nowMs);
      quota.recordDemands("e3", [{ tenant: "a", perSecond: 10 }], nowMs);
    });
    expect(starts).to.be.within(79, 81);
  });

  it("divides the unused rate among the entries with excess demand", () => {
    const quota = createTestQuota(60);
    const starts = countStartsInTenthSecond(quota, (nowMs) => {
      quota.recordDemands("e2", [], nowMs);
      quota.recordDemands("e3", [{ tenant: "a", perSecond: 60 }], nowMs);
    });
    expect(starts).to.be.within(44, 46);
  });

  it("ignores outdated reports", () => {
    const quota = createTestQuota(1_000);
    quota.recordDemands("e2", [], 0);
    quota.recordDemands("e3", [], 0);
    expect(countStartsInTenthSecond(quota, () => {})).to.be.within(29, 31);
  });

  it("does not limit tenants without a quota", () => {
    expect(createTestQuota(9).nextStartAtMs("free", 5)).to.equal(5);
  });
});
