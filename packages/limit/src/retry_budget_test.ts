import { expect } from "chai";
import { createRetryBudget } from "./index.ts";

function exhaustRetries(
  budget: ReturnType<typeof createRetryBudget>,
  tenant: string,
) {
  let taken = 0;
  while (budget.tryRetry(tenant)) taken++;
  return taken;
}

describe("createRetryBudget", () => {
  it("adds retry tokens in proportion to starts", () => {
    const budget = createRetryBudget({ share: () => 0.1 });
    exhaustRetries(budget, "a");
    for (let start = 0; start < 100; start++) budget.start("a");
    expect(exhaustRetries(budget, "a")).to.be.within(9, 10);
  });

  it("limits retries of all tenants together as well as per tenant", () => {
    const budget = createRetryBudget({ share: () => 0.1 });
    let taken = 0;
    for (let tenant = 0; tenant < 100; tenant++) {
      taken += exhaustRetries(budget, `t${tenant}`);
    }
    expect(taken).to.equal(200);
  });

  it("allows no retries when the share is zero", () => {
    const budget = createRetryBudget({ share: () => 0 });
    expect(budget.tryRetry("a")).to.equal(false);
  });
});
