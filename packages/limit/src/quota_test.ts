import { expect } from "chai";
import { createQuota, type Quota } from "./index.ts";

const ENTRIES = 3;
const PER_SECOND = 90;

function create(queued: number): Quota {
  return createQuota({
    perSecondOf: (tenant) => tenant === "free" ? 0 : PER_SECOND,
    entries: () => ENTRIES,
    queued: () => queued,
  });
}

/** Starts made in the tenth second of an entry that has enough to start. */
function startsInTenthSecond(quota: Quota, tell: (nowMs: number) => void) {
  let starts = 0;
  for (let nowMs = 0; nowMs < 10_000; nowMs++) {
    tell(nowMs);
    while (quota.startableAtMs("a", nowMs) <= nowMs) {
      quota.start("a", nowMs);
      if (nowMs >= 9_000) starts++;
    }
  }
  return starts;
}

describe("createQuota", () => {
  it("keeps to an equal share while nothing is heard of the others", () => {
    const starts = startsInTenthSecond(create(1_000), () => {});
    expect(starts).to.be.within(29, 31);
  });

  it("borrows what the others say they do not use", () => {
    const quota = create(1_000);
    const starts = startsInTenthSecond(quota, (nowMs) => {
      quota.hear("e2", [], nowMs);
      quota.hear("e3", [{ tenant: "a", perSecond: 10 }], nowMs);
    });
    expect(starts).to.be.within(79, 81);
  });

  it("shares what is unused between the entries that want it", () => {
    const quota = create(60);
    const starts = startsInTenthSecond(quota, (nowMs) => {
      quota.hear("e2", [], nowMs);
      quota.hear("e3", [{ tenant: "a", perSecond: 60 }], nowMs);
    });
    expect(starts).to.be.within(44, 46);
  });

  it("forgets what was heard long ago", () => {
    const quota = create(1_000);
    quota.hear("e2", [], 0);
    quota.hear("e3", [], 0);
    expect(startsInTenthSecond(quota, () => {})).to.be.within(29, 31);
  });

  it("leaves tenants without a quota alone", () => {
    expect(create(9).startableAtMs("free", 5)).to.equal(5);
  });
});
