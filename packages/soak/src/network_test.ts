/**
 * Guards against two soaks on one machine that listen at the same addresses: the
 * second one ended with EADDRINUSE.
 */
import { createServer } from "node:net";
import { expect } from "chai";
import { findFreeNetwork, storeAddressIn } from "./network.ts";

describe("networks of fleets", () => {
  it("are not given to a second fleet while the first one runs", async () => {
    const first = await findFreeNetwork();
    const [host, port] = storeAddressIn(first).split(":");
    const store = createServer();
    await new Promise<void>((resolve) =>
      store.listen(Number(port), host, resolve)
    );
    const second = await findFreeNetwork();
    await new Promise((resolve) => store.close(resolve));
    expect(second).not.to.equal(first);
  });
});
