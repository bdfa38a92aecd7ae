/**
 * An entry's streams to the other entries, one for each pair. The entry with
 * the greater incarnation opens it.
 */
import {
  dialAsPeer,
  type LinkTarget,
  type Stream,
  type StreamListener,
} from "@coltsfootreach/link";
import type { Member, PeerFrame, PeerMessage } from "@coltsfootreach/types";
import { isRefused } from "./probe.ts";

/** Pause before a stream that ended is opened again. */
const REDIAL_MS = 100;

/** Refused connections after which a process counts as ended. */
const PROBES = 2;

const PROBE_PAUSE_MS = 100;

export interface PeerStreamsOptions {
  /** Incarnation of this entry. */
  readonly me: string;
  readonly credentials?: LinkTarget["credentials"];
  readonly heartbeatMs: number;
  readonly silentMs: number;
  header(): Omit<PeerFrame, "messages">;
  up(entry: string): void;
  down(entry: string): void;
  received(frame: PeerFrame): void;
  /** Nothing listens any more where this entry was reached. */
  refused(entry: string): void;
}

export interface PeerStreams {
  accept(stream: Stream<PeerFrame>): StreamListener<PeerFrame>;
  /** Opens streams to new members and ends those to former ones. */
  follow(members: readonly Member[]): void;
  push(entry: string, message: PeerMessage): void;
  flush(): void;
  close(): void;
  counts(): PeerCounts;
}

export interface PeerCounts {
  readonly sent: number;
  /** Sent frames that carried no reply. */
  readonly sentWithoutReply: number;
  /** Sent frames that carried neither a forwarded submission nor a reply. */
  readonly sentWithoutRequest: number;
  /** Sent frames that carried no message at all. */
  readonly sentEmpty: number;
}

interface PeerStream {
  readonly entry: string;
  readonly stream: Stream<PeerFrame>;
  due: PeerMessage[];
  sentAtMs: number;
  heardAtMs: number;
  isHeard: boolean;
}

export function createPeerStreams(options: PeerStreamsOptions): PeerStreams {
  const streams = new Map<string, PeerStream>();
  const probing = new Set<string>();
  const redials = new Map<string, NodeJS.Timeout>();
  let members: readonly Member[] = [];
  let isClosed = false;
  const counts = {
    sent: 0,
    sentWithoutReply: 0,
    sentWithoutRequest: 0,
    sentEmpty: 0,
  };

  function begin(entry: string, stream: Stream<PeerFrame>): PeerStream {
    const earlier = streams.get(entry);
    if (earlier !== undefined) end(earlier);
    const nowMs = performance.now();
    const own: PeerStream = {
      entry,
      stream,
      due: [],
      sentAtMs: nowMs,
      heardAtMs: nowMs,
      isHeard: false,
    };
    streams.set(entry, own);
    return own;
  }

  function end(own: PeerStream): void {
    own.stream.close();
    if (streams.get(own.entry) !== own) return;
    streams.delete(own.entry);
    options.down(own.entry);
    planDial(own.entry, REDIAL_MS);
    void probe(own.entry);
  }

  /** Finds out whether the process at the other end has ended. */
  async function probe(entry: string): Promise<void> {
    if (probing.has(entry)) return;
    probing.add(entry);
    const isOver = await hasEnded(entry);
    probing.delete(entry);
    if (isOver) options.refused(entry);
  }

  /** A stream that was dialled and not heard yet tells nothing. */
  async function hasEnded(entry: string): Promise<boolean> {
    for (let attempt = 0; attempt < PROBES; attempt++) {
      await new Promise((wake) => setTimeout(wake, PROBE_PAUSE_MS));
      const member = members.find((one) => one.incarnation === entry);
      if (isClosed || member === undefined) return false;
      if (streams.get(entry)?.isHeard) return false;
      if (!(await isRefused(member.address))) return false;
    }
    return true;
  }

  function planDial(entry: string, afterMs: number): void {
    const isMember = members.some((member) => member.incarnation === entry);
    const dialsHere = options.me > entry;
    if (isClosed || !isMember || !dialsHere || redials.has(entry)) return;
    redials.set(entry, setTimeout(() => dial(entry), afterMs));
  }

  function dial(entry: string): void {
    redials.delete(entry);
    const member = members.find((one) => one.incarnation === entry);
    if (isClosed || member === undefined || streams.has(entry)) return;
    const { address } = member;
    const { credentials } = options;
    // The listener is called only after this turn, when `own` is set.
    const stream = dialAsPeer({ address, credentials }, {
      received(frame) {
        if (streams.get(entry) === own) take(own, frame);
      },
      drained: () => flushOne(own),
      closed: () => end(own),
    });
    const own = begin(entry, stream);
    send(own);
    options.up(entry);
  }

  function take(own: PeerStream, frame: PeerFrame): void {
    own.heardAtMs = performance.now();
    own.isHeard = true;
    options.received(frame);
  }

  function send(own: PeerStream): void {
    const messages = own.due;
    own.due = [];
    own.sentAtMs = performance.now();
    counts.sent += 1;
    const hasReply = messages.some(({ kind }) => kind === "reply");
    const hasSubmit = messages.some(({ kind }) => kind === "submit");
    if (!hasReply) counts.sentWithoutReply += 1;
    if (!hasReply && !hasSubmit) counts.sentWithoutRequest += 1;
    if (messages.length === 0) counts.sentEmpty += 1;
    own.stream.send({ ...options.header(), messages });
  }

  function flushOne(own: PeerStream): void {
    if (own.due.length > 0 && !own.stream.isSaturated()) send(own);
  }

  const timer = setInterval(() => {
    const nowMs = performance.now();
    for (const own of [...streams.values()]) {
      if (nowMs - own.heardAtMs > options.silentMs) end(own);
      else if (nowMs - own.sentAtMs >= options.heartbeatMs) send(own);
    }
  }, options.heartbeatMs / 4);

  return {
    accept(stream) {
      let own: PeerStream | undefined;
      return {
        received(frame) {
          if (own === undefined) {
            own = begin(frame.entry, stream);
            options.up(frame.entry);
          }
          if (streams.get(own.entry) === own) take(own, frame);
        },
        drained() {
          if (own !== undefined) flushOne(own);
        },
        closed() {
          if (own !== undefined) end(own);
        },
      };
    },
    follow(next) {
      members = next;
      for (const own of [...streams.values()]) {
        const isMember = members.some((one) => one.incarnation === own.entry);
        if (!isMember) end(own);
      }
      for (const { incarnation } of members) {
        if (!streams.has(incarnation)) planDial(incarnation, 0);
      }
    },
    push(entry, message) {
      streams.get(entry)?.due.push(message);
    },
    flush() {
      for (const own of streams.values()) flushOne(own);
    },
    close() {
      isClosed = true;
      clearInterval(timer);
      for (const redial of redials.values()) clearTimeout(redial);
      for (const own of [...streams.values()]) end(own);
    },
    counts: () => ({ ...counts }),
  };
}
