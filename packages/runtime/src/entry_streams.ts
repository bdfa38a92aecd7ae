/** A side's streams to entries: one per known address. */
import {
  type DispatchFrame,
  isDispatchFrame,
  type WorkFrame,
} from "@coltsfootreach/run";
import { dialStream, type Stream } from "@coltsfootreach/stream";
import type { OwnerId } from "@coltsfootreach/worker";

/** Delay before the first retry; doubles until an entry answers. */
const INITIAL_RETRY_DELAY_MS = 50;

const MAX_RETRY_DELAY_MS = 2000;

/** A new stream is closed if the entry sends no frame within this time. */
const FIRST_FRAME_TIMEOUT_MS = 1000;

/** An unlisted address that does not answer is removed after this time. */
const ADDRESS_RETENTION_MS = 15_000;

export interface EntryStreamsOptions {
  opened(owner: OwnerId): void;
  received(owner: OwnerId, frame: DispatchFrame): void;
  closed(owner: OwnerId): void;
  /** A frame from an entry could not be decoded or handled. */
  failed(address: string, error: Error): void;
}

export interface EntryStreams {
  /** Adds new addresses and refreshes known ones; it never removes any. */
  addAddresses(addresses: readonly string[]): void;
  send(owner: OwnerId, frame: WorkFrame): void;
  close(owner: OwnerId): void;
  /** Number of entries that have answered on their stream. */
  connected(): number;
  stop(): void;
}

interface Peer {
  readonly address: string;
  owner: OwnerId;
  stream: Stream<WorkFrame> | undefined;
  hasAnswered: boolean;
  retryDelayMs: number;
  timer: NodeJS.Timeout | undefined;
  /** When the entry last sent a frame or its address was last listed. */
  lastSeenAtMs: number;
}

export function createEntryStreams(options: EntryStreamsOptions): EntryStreams {
  const peers = new Map<string, Peer>();
  const peersByOwner = new Map<OwnerId, Peer>();
  let lastOwnerId = 0;
  let isStopped = false;

  function dial(peer: Peer): void {
    if (isStopped) return;
    lastOwnerId += 1;
    const owner = lastOwnerId;
    peer.owner = owner;
    peer.hasAnswered = false;
    peersByOwner.set(owner, peer);
    options.opened(owner);
    const dialOptions = { address: peer.address, isFrame: isDispatchFrame };
    peer.stream = dialStream<DispatchFrame, WorkFrame>(dialOptions, {
      received(frame) {
        if (peer.owner !== owner) return;
        markAnswered(peer);
        options.received(owner, frame);
      },
      drained() {},
      closed(error) {
        if (error !== undefined) options.failed(peer.address, error);
        endStream(peer, owner);
      },
    });
    clearTimeout(peer.timer);
    peer.timer = setTimeout(() => {
      if (!peer.hasAnswered) endStream(peer, owner);
    }, FIRST_FRAME_TIMEOUT_MS);
  }

  function markAnswered(peer: Peer): void {
    peer.hasAnswered = true;
    peer.retryDelayMs = INITIAL_RETRY_DELAY_MS;
    peer.lastSeenAtMs = performance.now();
  }

  /** Closes a stream and schedules a reconnect, or removes a stale address. */
  function endStream(peer: Peer, owner: OwnerId): void {
    if (!peersByOwner.delete(owner)) return;
    const { stream } = peer;
    peer.stream = undefined;
    stream?.close();
    options.closed(owner);
    if (performance.now() - peer.lastSeenAtMs > ADDRESS_RETENTION_MS) {
      peers.delete(peer.address);
      return;
    }
    clearTimeout(peer.timer);
    peer.timer = setTimeout(() => dial(peer), peer.retryDelayMs);
    peer.retryDelayMs = Math.min(MAX_RETRY_DELAY_MS, peer.retryDelayMs * 2);
  }

  function addAddresses(addresses: readonly string[]): void {
    for (const address of addresses) {
      const existing = peers.get(address);
      if (existing !== undefined) {
        existing.lastSeenAtMs = performance.now();
        continue;
      }
      const peer: Peer = {
        address,
        owner: 0,
        stream: undefined,
        hasAnswered: false,
        retryDelayMs: INITIAL_RETRY_DELAY_MS,
        timer: undefined,
        lastSeenAtMs: performance.now(),
      };
      peers.set(address, peer);
      dial(peer);
    }
  }

  return {
    addAddresses,
    send: (owner, frame) => peersByOwner.get(owner)?.stream?.send(frame),
    close(owner) {
      const peer = peersByOwner.get(owner);
      if (peer !== undefined) endStream(peer, owner);
    },
    connected: () =>
      [...peers.values()].filter((peer) => peer.hasAnswered).length,
    stop() {
      isStopped = true;
      for (const peer of peers.values()) {
        clearTimeout(peer.timer);
        peer.stream?.close();
      }
    },
  };
}
