import { expect } from "chai";
import { err, ok, type Result, ResultAsync } from "neverthrow";
import { hedgedRead } from "./hedge.ts";

const DELAY_MS = 5;

/** A read whose attempts are settled by the test. */
function createManualRead() {
  const attempts: ((result: Result<string, Error>) => void)[] = [];
  const read = () =>
    new ResultAsync(
      new Promise<Result<string, Error>>((resolve) => attempts.push(resolve)),
    );
  async function attemptCount(count: number): Promise<void> {
    while (attempts.length < count) {
      await new Promise((resolve) => setTimeout(resolve, 1));
    }
  }
  return { read, attempts, attemptCount };
}

describe("hedged read", () => {
  it("returns the answer to a later attempt if the first gets none", async () => {
    const { read, attempts, attemptCount } = createManualRead();
    const pending = hedgedRead(read, { delayMs: DELAY_MS });
    await attemptCount(2);
    attempts[1]!(ok("second"));
    expect((await pending)._unsafeUnwrap()).to.equal("second");
  });

  it("makes one attempt if it is answered in time", async () => {
    const { read, attempts } = createManualRead();
    const pending = hedgedRead(read, { delayMs: 60_000 });
    attempts[0]!(ok("first"));
    expect((await pending)._unsafeUnwrap()).to.equal("first");
    expect(attempts).to.have.length(1);
  });

  it("fails at once if the only attempt so far fails", async () => {
    const { read, attempts } = createManualRead();
    const pending = hedgedRead(read, { delayMs: 60_000 });
    attempts[0]!(err(new Error("refused")));
    expect((await pending)._unsafeUnwrapErr().message).to.equal("refused");
  });

  it("waits for the other attempts when one fails", async () => {
    const { read, attempts, attemptCount } = createManualRead();
    const pending = hedgedRead(read, { delayMs: DELAY_MS, maxAttempts: 2 });
    await attemptCount(2);
    attempts[0]!(err(new Error("timeout")));
    attempts[1]!(ok("second"));
    expect((await pending)._unsafeUnwrap()).to.equal("second");
  });
});
