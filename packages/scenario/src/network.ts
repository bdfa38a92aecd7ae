/**
 * Fake streams between hosts. Frames of a stream arrive in order after a fixed
 * delay. Between two hosts the streams may break, go silent, be cut off, be
 * held back and released in either order, or repeat their last frame.
 */
import type { Agenda } from "./agenda.ts";
import type { Host } from "./host.ts";

/** One way of a link in milliseconds. */
export const LINK_DELAY_MS = 1;

export interface Listener {
  received(frame: unknown): void;
  closed(): void;
}

/** One end of a stream. */
export interface End {
  send(frame: unknown): void;
  close(): void;
}

export interface Network {
  /** Opens a stream; `accept` is called at the far end with its own end. */
  dial(from: Host, to: Host, accept: (end: End) => Listener): {
    readonly end: End;
    listen(listener: Listener): void;
  };
  /** Ends all streams between two hosts; what is under way is lost. */
  breakStreams(a: string, b: string): void;
  /** The streams of now carry nothing any more; new ones work. */
  silence(a: string, b: string): void;
  /** Nothing passes, and streams go silent, until healed. */
  cut(a: string, b: string): void;
  /** Frames wait until released. */
  hold(a: string, b: string): void;
  /** Lets held frames go; the newest stream's first if `reversed`. */
  release(a: string, b: string, reversed: boolean): void;
  heal(a: string, b: string): void;
  healAll(): void;
  /** The last frame from one host to the other arrives once more. */
  repeatLast(from: string, to: string): boolean;
  isCut(a: string, b: string): boolean;
  isHeld(a: string, b: string): boolean;
  /** Everything about the network that can matter later. */
  state(): unknown;
}

interface Half {
  readonly host: Host;
  listener: Listener | undefined;
  isOver: boolean;
  /** The last frame delivered to this end. */
  last: unknown;
}

interface Stream {
  readonly pair: string;
  isSilent: boolean;
  readonly halves: readonly [Half, Half];
}

interface Held {
  readonly stream: Stream;
  readonly deliver: () => void;
}

/** A frame, or the opening or end of a stream, on its way. */
interface Flight {
  readonly to: string;
  readonly what: unknown;
  readonly sentAtMs: number;
}

export function pairOf(a: string, b: string): string {
  return a < b ? `${a}|${b}` : `${b}|${a}`;
}

export function createNetwork(agenda: Agenda): Network {
  let streams: Stream[] = [];
  const cuts = new Set<string>();
  const held = new Map<string, Held[]>();
  const flights = new Map<number, Flight>();
  let numbers = 0;

  function carry(
    stream: Stream,
    to: Half,
    carried: { readonly what: unknown; readonly run: () => void },
  ): void {
    if (stream.isSilent || cuts.has(stream.pair)) return;
    const number = numbers++;
    const { what, run } = carried;
    flights.set(number, { to: to.host.name, what, sentAtMs: agenda.nowMs() });
    const deliver = () => {
      flights.delete(number);
      if (stream.isSilent) return;
      to.host.input(what, () => {
        if (!to.isOver) run();
      });
    };
    const waiting = held.get(stream.pair);
    if (waiting !== undefined) waiting.push({ stream, deliver });
    else {
      agenda.schedule(LINK_DELAY_MS, () => {
        const now = held.get(stream.pair);
        if (now === undefined) deliver();
        else now.push({ stream, deliver });
      });
    }
  }

  function endOf(stream: Stream, own: Half, other: Half): End {
    return {
      send(frame) {
        if (own.isOver) return;
        carry(stream, other, {
          what: frame,
          run() {
            other.last = frame;
            other.listener?.received(frame);
          },
        });
      },
      close() {
        if (own.isOver) return;
        own.isOver = true;
        carry(stream, other, { what: "close", run: () => finish(other) });
      },
    };
  }

  function finish(half: Half): void {
    if (half.isOver) return;
    half.isOver = true;
    half.listener?.closed();
  }

  function release(pair: string, reversed: boolean): void {
    const waiting = held.get(pair) ?? [];
    held.delete(pair);
    if (reversed) {
      const order = [...new Set(waiting.map((one) => one.stream))].reverse();
      waiting.sort((left, right) =>
        order.indexOf(left.stream) - order.indexOf(right.stream)
      );
    }
    for (const { deliver } of waiting) {
      agenda.schedule(LINK_DELAY_MS, deliver);
    }
  }

  function between(a: string, b: string): Stream[] {
    streams = streams.filter(({ halves }) =>
      halves.some((half) => !half.isOver && half.host.isAlive())
    );
    return streams.filter((stream) => stream.pair === pairOf(a, b));
  }

  return {
    dial(from, to, accept) {
      const near: Half = newHalf(from);
      const far: Half = newHalf(to);
      const pair = pairOf(from.name, to.name);
      const stream: Stream = { pair, isSilent: false, halves: [near, far] };
      streams.push(stream);
      if (!to.isAlive()) {
        from.after(LINK_DELAY_MS, () => finish(near));
      } else {
        carry(stream, far, {
          what: "open",
          run() {
            far.listener = accept(endOf(stream, far, near));
          },
        });
      }
      return {
        end: endOf(stream, near, far),
        listen(listener) {
          near.listener = listener;
        },
      };
    },
    breakStreams(a, b) {
      for (const stream of between(a, b)) {
        stream.isSilent = true;
        for (const half of stream.halves) {
          half.host.input("broken", () => finish(half));
        }
      }
    },
    silence(a, b) {
      for (const stream of between(a, b)) stream.isSilent = true;
    },
    cut(a, b) {
      cuts.add(pairOf(a, b));
      for (const stream of between(a, b)) stream.isSilent = true;
    },
    hold(a, b) {
      const pair = pairOf(a, b);
      if (!held.has(pair)) held.set(pair, []);
    },
    release: (a, b, reversed) => release(pairOf(a, b), reversed),
    heal(a, b) {
      cuts.delete(pairOf(a, b));
    },
    healAll() {
      cuts.clear();
      for (const pair of [...held.keys()]) release(pair, false);
    },
    repeatLast(from, to) {
      const live = between(from, to).filter((stream) => !stream.isSilent);
      for (const { halves } of live.reverse()) {
        const half = halves.find((one) => one.host.name === to)!;
        if (half.isOver || half.last === undefined) continue;
        const { last } = half;
        half.host.input(last, () => half.listener?.received(last));
        return true;
      }
      return false;
    },
    isCut: (a, b) => cuts.has(pairOf(a, b)),
    isHeld: (a, b) => held.has(pairOf(a, b)),
    state: () => ({
      cuts: [...cuts].sort(),
      held: [...held].map(([pair, waiting]) => [pair, waiting.length]).sort(),
      flights: [...flights.values()].map((flight) => JSON.stringify(flight))
        .sort(),
      streams: streams
        .filter(({ halves }) => halves.some((half) => !half.isOver))
        .map(({ pair, isSilent, halves }) =>
          `${pair} ${isSilent} ${halves.map((half) => half.isOver)}`
        ).sort(),
    }),
  };
}

function newHalf(host: Host): Half {
  return { host, listener: undefined, isOver: false, last: undefined };
}
