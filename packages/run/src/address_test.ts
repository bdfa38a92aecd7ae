import { expect } from "chai";
import fc from "fast-check";
import { connect } from "node:net";
import { isAddress } from "./address.ts";

describe("addresses", () => {
  it("have an IPv4 address and a port", () => {
    for (const text of ["10.0.0.1:1", "255.255.255.255:65535"]) {
      expect(isAddress(text), text).to.equal(true);
    }
  });

  it("have no other form and no number out of range", () => {
    const texts = [
      "",
      "10.0.0.1",
      "10.0.0.1:",
      "10.0.0.1:0",
      "10.0.0.1:65536",
      "10.0.0.1:99999999",
      "10.0.0.256:80",
      "10.0.0.1:80:80",
      "10.0.0.1:-1",
      "10.0.0.1:1e3",
      " 10.0.0.1:80",
      "10.0.0.1:80\n",
      "host:80",
      "[::1]:80",
      "[[[[",
    ];
    for (const text of texts) expect(isAddress(text), text).to.equal(false);
  });

  // A port out of range made `connect` throw, which ended the process.
  it("never make a connection attempt throw", () => {
    const texts = fc.oneof(
      fc.string(),
      fc.tuple(fc.ipV4(), fc.integer()).map((parts) => parts.join(":")),
    );
    fc.assert(
      fc.property(texts, (text) => {
        if (!isAddress(text)) return;
        const [host, port] = text.split(":");
        const socket = connect({ host: host!, port: Number(port) });
        socket.on("error", () => {});
        socket.destroy();
      }),
    );
  });
});
