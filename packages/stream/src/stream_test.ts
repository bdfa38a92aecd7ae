import { connect, type Socket } from "node:net";
import { once } from "node:events";
import { isWorkFrame, type WorkFrame } from "@coltsfootreach/run";
import { expect } from "chai";
import fc from "fast-check";
import { Packr } from "msgpackr";
import { dialStream } from "./dial.ts";
import { listenForStreams, type StreamServer } from "./listen.ts";
import type { Stream, StreamListener } from "./stream.ts";

const FRAME: WorkFrame = { kind: "work", seen: 1, news: [] };

/** What one end of a stream has seen. */
interface Ended {
  readonly frames: WorkFrame[];
  readonly faults: (Error | undefined)[];
}

function record(onFrame: (frame: WorkFrame) => void = () => {}) {
  const ended: Ended = { frames: [], faults: [] };
  const listener: StreamListener<WorkFrame> = {
    received(frame) {
      ended.frames.push(frame);
      onFrame(frame);
    },
    drained() {},
    closed: (fault) => ended.faults.push(fault),
  };
  return { ended, listener };
}

async function until(isTrue: () => boolean): Promise<void> {
  while (!isTrue()) await new Promise((resolve) => setTimeout(resolve, 5));
}

describe("streams over TCP", () => {
  let server: StreamServer;
  let accepted: Ended[];
  let streams: Stream<WorkFrame>[];
  let onFrame: (frame: WorkFrame) => void;

  beforeEach(async () => {
    accepted = [];
    streams = [];
    onFrame = () => {};
    const listening = await listenForStreams<WorkFrame, WorkFrame>({
      address: "127.0.0.1:0",
      isFrame: isWorkFrame,
      accept(stream) {
        const { ended, listener } = record((frame) => onFrame(frame));
        accepted.push(ended);
        streams.push(stream);
        return listener;
      },
    });
    server = listening._unsafeUnwrap();
  });

  afterEach(() => server.close());

  function dial(listener: StreamListener<WorkFrame>): Stream<WorkFrame> {
    const address = `127.0.0.1:${server.port}`;
    return dialStream({ address, isFrame: isWorkFrame }, listener);
  }

  async function dialRaw(): Promise<Socket> {
    const socket = connect(server.port, "127.0.0.1");
    socket.on("error", () => {});
    await once(socket, "connect");
    return socket;
  }

  it("carries frames in order, both ways", async () => {
    const { ended, listener } = record();
    const stream = dial(listener);
    for (let seen = 0; seen < 100; seen += 1) stream.send({ ...FRAME, seen });
    await until(() => accepted[0]?.frames.length === 100);
    streams[0]!.send({ ...FRAME, side: "a" });
    await until(() => ended.frames.length === 1);
    const numbers = accepted[0]!.frames.map((frame) => frame.seen);
    expect(numbers).to.deep.equal([...Array(100).keys()]);
    expect(ended.frames[0]!.side).to.equal("a");
  });

  it("tells a report that is gone from one that is left out", async () => {
    const stream = dial(record().listener);
    stream.send({ ...FRAME, server: undefined });
    stream.send(FRAME);
    await until(() => accepted[0]?.frames.length === 2);
    const [gone, leftOut] = accepted[0]!.frames;
    expect("server" in gone!).to.equal(true);
    expect("server" in leftOut!).to.equal(false);
  });

  it("delivers what was written before the end", async () => {
    const stream = dial(record().listener);
    await until(() => accepted.length === 1);
    for (let seen = 0; seen < 50; seen += 1) stream.send({ ...FRAME, seen });
    stream.close();
    await until(() => accepted[0]!.faults.length === 1);
    expect(accepted[0]!.frames).to.have.length(50);
    expect(accepted[0]!.faults).to.deep.equal([undefined]);
  });

  it("says so once when nothing listens", async () => {
    const { ended, listener } = record();
    const address = `127.0.0.1:${server.port}`;
    server.close();
    dialStream({ address, isFrame: isWorkFrame }, listener);
    await until(() => ended.faults.length > 0);
    expect(ended.faults).to.deep.equal([undefined]);
  });

  it("closes only the connection that brings malformed bytes", async () => {
    dial(record().listener).send(FRAME);
    await until(() => accepted[0]?.frames.length === 1);
    const raw = await dialRaw();
    raw.write(new Packr().pack({ kind: "work", seen: "much", news: 3 }));
    await until(() => accepted[1]?.faults.length === 1);
    expect(accepted[1]!.faults[0]).to.be.instanceOf(Error);
    expect(accepted[0]!.faults).to.deep.equal([]);
  });

  it("closes only the connection whose frame can't be handled", async () => {
    onFrame = (frame) => {
      if (frame.side === "bad") throw new Error("cannot handle it");
    };
    const good = dial(record().listener);
    good.send({ ...FRAME, side: "good" });
    await until(() => accepted[0]?.frames.length === 1);
    dial(record().listener).send({ ...FRAME, side: "bad" });
    await until(() => accepted[1]?.faults.length === 1);
    good.send(FRAME);
    await until(() => accepted[0]?.frames.length === 2);
    expect(accepted[1]!.faults[0]?.message).to.equal("cannot handle it");
    expect(accepted[0]!.faults).to.deep.equal([]);
  });

  it("outlives any bytes", async () => {
    await fc.assert(
      fc.asyncProperty(fc.uint8Array({ maxLength: 200 }), async (bytes) => {
        const raw = await dialRaw();
        raw.end(bytes);
        await once(raw, "close");
      }),
      { numRuns: 200 },
    );
    dial(record().listener).send({ ...FRAME, side: "after" });
    await until(() => accepted.at(-1)?.frames.at(-1)?.side === "after");
  });
});

describe("the check of frames", () => {
  it("takes no value of another shape", () => {
    fc.assert(
      fc.property(fc.anything(), (value) => {
        expect(isWorkFrame(value)).to.equal(false);
      }),
      { numRuns: 500 },
    );
  });

  it("takes no frame with a field of another type", () => {
    const whole: WorkFrame = {
      ...FRAME,
      news: [{
        kind: "lost",
        ref: { task: { job: "a", occurrence: 0, step: 0, index: 0 }, run: 1 },
        reason: "gone",
      }],
    };
    expect(isWorkFrame(whole)).to.equal(true);
    fc.assert(
      fc.property(
        fc.constantFrom("kind", "seen", "news"),
        fc.anything(),
        (field, value) => {
          fc.pre(field !== "seen" || typeof value !== "number");
          fc.pre(!Array.isArray(value) || value.length > 0);
          expect(isWorkFrame({ ...whole, [field]: value })).to.equal(false);
        },
      ),
      { numRuns: 500 },
    );
  });
});
