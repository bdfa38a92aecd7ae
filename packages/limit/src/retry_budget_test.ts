import { expect } from "chai";
import { createRetryBudget } from "./index.ts";

function retries(budget: ReturnType<typeof createRetryBudget>, tenant: string) {
  let taken = 0;
  while (budget.tryRetry(tenant)) taken++;
  return taken;
}

describe("createRetryBudget", () => {
  it("earns retries as a share of starts", () => {
    const budget = createRetryBudget({ share: () => 0.1 });
    retries(budget, "a");
    for (let start = 0; start < 100; start++) budget.start("a");
    expect(retries(budget, "a")).to.be.within(9, 10);
  });

  it("bounds the whole beside each tenant", () => {
    const budget = createRetryBudget({ share: () => 0.1 });
    let taken = 0;
    for (let tenant = 0; tenant < 100; tenant++) {
      taken += retries(budget, `t${tenant}`);
    }
    expect(taken).to.equal(200);
  });

  it("allows none when the share is zero", () => {
    const budget = createRetryBudget({ share: () => 0 });
    expect(budget.tryRetry("a")).to.equal(false);
  });
});
