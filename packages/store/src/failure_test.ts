import { expect } from "chai";
import { brokenAttempt, errorStatus } from "./failure.ts";

describe("a failed attempt", () => {
  it("did not run when the connection could not be made", () => {
    const refused = { code: "ECONNREFUSED", syscall: "connect" };
    expect(brokenAttempt(refused).verdict).to.equal("notRun");
    expect(brokenAttempt({ errors: [refused, refused] }).verdict)
      .to.equal("notRun");
  });

  it("may have run when an open connection failed in any way", () => {
    const causes = [
      { code: "EHOSTUNREACH", syscall: "write" },
      { code: "UND_ERR_SOCKET" },
      { errors: [{ syscall: "connect" }, { syscall: "read" }] },
      undefined,
    ];
    for (const cause of causes) {
      expect(brokenAttempt(cause).verdict).to.equal("mayHaveRun");
    }
  });

  it("did not run only when the service itself says so", () => {
    const refusal = '{"code":8,"message":"etcdserver: too many requests"}';
    expect(errorStatus(429, refusal).verdict).to.equal("notRun");
    const others = [
      '{"code":8,"message":"grpc: received message larger than max"}',
      '{"code":14,"message":"etcdserver: request timed out"}',
      "<html>",
    ];
    for (const text of others) {
      expect(errorStatus(429, text).verdict).to.equal("mayHaveRun");
    }
  });
});
