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

/** Frames and close events that one end of a stream received. */
interface ObservedEvents {
  readonly frames: WorkFrame[];
  readonly faults: (Error | undefined)[];
}

function createRecorder(onFrame: (frame: WorkFrame) => void = () => {}) {
  const ended: ObservedEvents = { frames: [], faults: [] };
  const listener: StreamListener<WorkFrame> = {
    received(frame) {
      ended.frames.push(frame);
      onFrame(frame);
    },
    drained() {},
    closed: (error) => ended.faults.push(error),
  };
  return { ended, listener };
}

async function waitUntil(isDone: () => boolean): Promise<void> {
  while (!isDone()) await new Promise((resolve) => setTimeout(resolve, 5));
}

describe("streams over TCP", () => {
  let server: StreamServer;
  let accepted: ObservedEvents[];
  let acceptedStreams: Stream<WorkFrame>[];
  let onFrame: (frame: WorkFrame) => void;

  beforeEach(async () => {
    accepted = [];
    acceptedStreams = [];
    onFrame = () => {};
    const listening = await listenForStreams<WorkFrame, WorkFrame>({
      address: "127.0.0.1:0",
      isFrame: isWorkFrame,
      accept(stream) {
        const { ended, listener } = createRecorder((frame) => onFrame(frame));
        accepted.push(ended);
        acceptedStreams.push(stream);
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

  async function dialSocket(): Promise<Socket> {
    const socket = connect(server.port, "127.0.0.1");
    socket.on("error", () => {});
    await once(socket, "connect");
    return socket;
  }

  it("delivers frames in order in both directions", async () => {
    const { ended, listener } = createRecorder();
    const stream = dial(listener);
    for (let seen = 0; seen < 100; seen += 1) stream.send({ ...FRAME, seen });
    await waitUntil(() => accepted[0]?.frames.length === 100);
    acceptedStreams[0]!.send({ ...FRAME, side: "a" });
    await waitUntil(() => ended.frames.length === 1);
    const numbers = accepted[0]!.frames.map((frame) => frame.seen);
    expect(numbers).to.deep.equal([...Array(100).keys()]);
    expect(ended.frames[0]!.side).to.equal("a");
  });

  it("distinguishes an undefined field from an omitted one", async () => {
    const stream = dial(createRecorder().listener);
    stream.send({ ...FRAME, server: undefined });
    stream.send(FRAME);
    await waitUntil(() => accepted[0]?.frames.length === 2);
    const [withUndefined, withoutField] = accepted[0]!.frames;
    expect("server" in withUndefined!).to.equal(true);
    expect("server" in withoutField!).to.equal(false);
  });

  it("delivers all frames written before closing", async () => {
    const stream = dial(createRecorder().listener);
    await waitUntil(() => accepted.length === 1);
    for (let seen = 0; seen < 50; seen += 1) stream.send({ ...FRAME, seen });
    stream.close();
    await waitUntil(() => accepted[0]!.faults.length === 1);
    expect(accepted[0]!.frames).to.have.length(50);
    expect(accepted[0]!.faults).to.deep.equal([undefined]);
  });

  it("reports a refused connection exactly once", async () => {
    const { ended, listener } = createRecorder();
    const address = `127.0.0.1:${server.port}`;
    server.close();
    dialStream({ address, isFrame: isWorkFrame }, listener);
    await waitUntil(() => ended.faults.length > 0);
    expect(ended.faults).to.deep.equal([undefined]);
  });

  it("closes only the connection that receives a malformed frame", async () => {
    dial(createRecorder().listener).send(FRAME);
    await waitUntil(() => accepted[0]?.frames.length === 1);
    const raw = await dialSocket();
    raw.write(new Packr().pack({ kind: "work", seen: "much", news: 3 }));
    await waitUntil(() => accepted[1]?.faults.length === 1);
    expect(accepted[1]!.faults[0]).to.be.instanceOf(Error);
    expect(accepted[0]!.faults).to.deep.equal([]);
  });

  it("closes only the connection whose frame can't be handled", async () => {
    onFrame = (frame) => {
      if (frame.side === "bad") throw new Error("cannot handle it");
    };
    const goodStream = dial(createRecorder().listener);
    goodStream.send({ ...FRAME, side: "good" });
    await waitUntil(() => accepted[0]?.frames.length === 1);
    dial(createRecorder().listener).send({ ...FRAME, side: "bad" });
    await waitUntil(() => accepted[1]?.faults.length === 1);
    goodStream.send(FRAME);
    await waitUntil(() => accepted[0]?.frames.length === 2);
    expect(accepted[1]!.faults[0]?.message).to.equal("cannot handle it");
    expect(accepted[0]!.faults).to.deep.equal([]);
  });

  // Decoding nested values is recursive; it must not end the process.
  it("closes only the connection that receives deeply nested bytes", async () => {
    dial(createRecorder().listener).send(FRAME);
    await waitUntil(() => accepted[0]?.frames.length === 1);
    const arrayOfOne = 0x91;
    const mapOfOne = 0x81;
    for (const [index, byte] of [arrayOfOne, mapOfOne].entries()) {
      const raw = await dialSocket();
      raw.on("error", () => {});
      raw.write(Buffer.alloc(200_000, byte));
      await waitUntil(() => accepted[1 + index]?.faults.length === 1);
      expect(accepted[1 + index]!.faults[0]).to.be.instanceOf(Error);
    }
    expect(accepted[0]!.faults).to.deep.equal([]);
  });

  it("keeps accepting streams after receiving arbitrary bytes", async () => {
    await fc.assert(
      fc.asyncProperty(fc.uint8Array({ maxLength: 200 }), async (bytes) => {
        const raw = await dialSocket();
        raw.end(bytes);
        await once(raw, "close");
      }),
      { numRuns: 200 },
    );
    dial(createRecorder().listener).send({ ...FRAME, side: "after" });
    await waitUntil(() => accepted.at(-1)?.frames.at(-1)?.side === "after");
  });
});

describe("isWorkFrame", () => {
  it("rejects arbitrary values", () => {
    fc.assert(
      fc.property(fc.anything(), (value) => {
        expect(isWorkFrame(value)).to.equal(false);
      }),
      { numRuns: 500 },
    );
  });

  it("rejects a frame with a field of the wrong type", () => {
    const validFrame: WorkFrame = {
      ...FRAME,
      news: [{
        kind: "lost",
        ref: { task: { job: "a", occurrence: 0, step: 0, index: 0 }, run: 1 },
        reason: "gone",
      }],
    };
    expect(isWorkFrame(validFrame)).to.equal(true);
    fc.assert(
      fc.property(
        fc.constantFrom("kind", "seen", "news"),
        fc.anything(),
        (field, value) => {
          fc.pre(field !== "seen" || typeof value !== "number");
          fc.pre(!Array.isArray(value) || value.length > 0);
          expect(isWorkFrame({ ...validFrame, [field]: value })).to.equal(
            false,
          );
        },
      ),
      { numRuns: 500 },
    );
  });
});
