import { expect } from "chai";
import { failureFromError, failureFromResponse } from "./failure.ts";

describe("a failed request", () => {
  it("is notRun when the connection could not be established", () => {
    const connectionRefused = { code: "ECONNREFUSED", syscall: "connect" };
    expect(failureFromError(connectionRefused).verdict).to.equal("notRun");
    expect(
      failureFromError({ errors: [connectionRefused, connectionRefused] })
        .verdict,
    )
      .to.equal("notRun");
  });

  it("is mayHaveRun for any error on an established connection", () => {
    const causes = [
      { code: "EHOSTUNREACH", syscall: "write" },
      { code: "UND_ERR_SOCKET" },
      { errors: [{ syscall: "connect" }, { syscall: "read" }] },
      undefined,
    ];
    for (const cause of causes) {
      expect(failureFromError(cause).verdict).to.equal("mayHaveRun");
    }
  });

  it("is notRun only when etcd itself rejects the request", () => {
    const rateLimited = '{"code":8,"message":"etcdserver: too many requests"}';
    expect(failureFromResponse(429, rateLimited).verdict).to.equal("notRun");
    const ambiguousResponses = [
      '{"code":8,"message":"grpc: received message larger than max"}',
      '{"code":14,"message":"etcdserver: request timed out"}',
      "<html>",
    ];
    for (const text of ambiguousResponses) {
      expect(failureFromResponse(429, text).verdict).to.equal("mayHaveRun");
    }
  });
});
