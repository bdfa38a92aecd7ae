/** A side's streams to entries: one to each entry that it knows. */
import {
  type DispatchFrame,
  isDispatchFrame,
  type WorkFrame,
} from "@coltsfootreach/run";
import { dialStream, type Stream } from "@coltsfootreach/stream";
import type { OwnerId } from "@coltsfootreach/worker";

/** Pauses between attempts; a dead address is tried ever more rarely. */
const FIRST_PAUSE_MS = 50;

const LONGEST_PAUSE_MS = 2000;

/** An entry that says nothing on a new stream for this long is not there. */
const FIRST_FRAME_MS = 1000;

/** An address outside the list that does not answer is forgotten after this. */
const FORGET_MS = 15_000;

export interface EntryStreamsOptions {
  opened(owner: OwnerId): void;
  received(owner: OwnerId, frame: DispatchFrame): void;
  closed(owner: OwnerId): void;
  /** What an entry sent could not be decoded or handled. */
  failed(address: string, fault: Error): void;
}

export interface EntryStreams {
  /** Adds addresses; ones that are known already stay. */
  know(addresses: readonly string[]): void;
  send(owner: OwnerId, frame: WorkFrame): void;
  close(owner: OwnerId): void;
  /** Entries that have answered on their stream. */
  connected(): number;
  stop(): void;
}

interface Peer {
  readonly address: string;
  owner: OwnerId;
  stream: Stream<WorkFrame> | undefined;
  isHeard: boolean;
  pauseMs: number;
  timer: NodeJS.Timeout | undefined;
  /** Last sign of the entry, or of its address in a list. */
  seenAt: number;
}

export function createEntryStreams(options: EntryStreamsOptions): EntryStreams {
  const peers = new Map<string, Peer>();
  const byOwner = new Map<OwnerId, Peer>();
  let lastOwner = 0;
  let isStopped = false;

  function dial(peer: Peer): void {
    if (isStopped) return;
    lastOwner += 1;
    const owner = lastOwner;
    peer.owner = owner;
    peer.isHeard = false;
    byOwner.set(owner, peer);
    options.opened(owner);
    const target = { address: peer.address, isFrame: isDispatchFrame };
    peer.stream = dialStream<DispatchFrame, WorkFrame>(target, {
      received(frame) {
        if (peer.owner !== owner) return;
        noteHeard(peer);
        options.received(owner, frame);
      },
      drained() {},
      closed(fault) {
        if (fault !== undefined) options.failed(peer.address, fault);
        end(peer, owner);
      },
    });
    clearTimeout(peer.timer);
    peer.timer = setTimeout(() => {
      if (!peer.isHeard) end(peer, owner);
    }, FIRST_FRAME_MS);
  }

  function noteHeard(peer: Peer): void {
    peer.isHeard = true;
    peer.pauseMs = FIRST_PAUSE_MS;
    peer.seenAt = performance.now();
  }

  /** Ends one stream and tries again after a pause. */
  function end(peer: Peer, owner: OwnerId): void {
    if (!byOwner.delete(owner)) return;
    const { stream } = peer;
    peer.stream = undefined;
    stream?.close();
    options.closed(owner);
    if (performance.now() - peer.seenAt > FORGET_MS) {
      peers.delete(peer.address);
      return;
    }
    clearTimeout(peer.timer);
    peer.timer = setTimeout(() => dial(peer), peer.pauseMs);
    peer.pauseMs = Math.min(LONGEST_PAUSE_MS, peer.pauseMs * 2);
  }

  function know(addresses: readonly string[]): void {
    for (const address of addresses) {
      const known = peers.get(address);
      if (known !== undefined) {
        known.seenAt = performance.now();
        continue;
      }
      const peer: Peer = {
        address,
        owner: 0,
        stream: undefined,
        isHeard: false,
        pauseMs: FIRST_PAUSE_MS,
        timer: undefined,
        seenAt: performance.now(),
      };
      peers.set(address, peer);
      dial(peer);
    }
  }

  return {
    know,
    send: (owner, frame) => byOwner.get(owner)?.stream?.send(frame),
    close(owner) {
      const peer = byOwner.get(owner);
      if (peer !== undefined) end(peer, owner);
    },
    connected: () => [...peers.values()].filter((one) => one.isHeard).length,
    stop() {
      isStopped = true;
      for (const peer of peers.values()) {
        clearTimeout(peer.timer);
        peer.stream?.close();
      }
    },
  };
}
