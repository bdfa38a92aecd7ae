import { expect } from "chai";
import { wasteOf } from "./waste.ts";

describe("wasteOf", () => {
  it("counts frames and store calls that carried no start and no answer", () => {
    const waste = wasteOf({
      "sides.sent": 500,
      "sides.sentWithoutStart": 40,
      "sides.receivedWithoutResult": 20,
      "sides.sentEmpty": 10,
      "peers.sent": 300,
      "peers.sentWithoutReply": 30,
      "store.read": 6,
      "store.renew": 4,
    }, 100);
    expect(waste.byKind).to.deep.equal({
      entryToSide: 0.4,
      sideToEntry: 0.2,
      entryToEntry: 0.3,
      store: 0.1,
    });
    expect(waste.total).to.be.closeTo(1, 1e-9);
    expect(waste.heartbeats).to.be.closeTo(0.1, 1e-9);
  });
});
