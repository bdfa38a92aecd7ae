/**
 * The gRPC service of an entry. It has one method for sides and one for other
 * entries; both are bidirectional streams of frames.
 */
import { type ChannelOptions, type ServiceDefinition } from "@grpc/grpc-js";
import { decodeFrame, encodeFrame } from "./codec.ts";

/** The largest frames contain a side's evidence or a large handover of records. */
const MAX_FRAME_BYTES = 64 * 1024 * 1024;

/** Initial time from the start of a connection attempt to the next one. */
const INITIAL_RECONNECT_BACKOFF_MS = 100;

export const LINK_SERVICE = {
  side: bidirectionalMethod("/coltsfootreach.Link/Side"),
  peer: bidirectionalMethod("/coltsfootreach.Link/Peer"),
} satisfies ServiceDefinition;

export const CHANNEL_OPTIONS: ChannelOptions = {
  "grpc.max_receive_message_length": MAX_FRAME_BYTES,
  "grpc.max_send_message_length": MAX_FRAME_BYTES,
  // With a shared subchannel, a stream that replaces an unresponsive one would
  // get the same connection again.
  "grpc.use_local_subchannel_pool": 1,
  "grpc.initial_reconnect_backoff_ms": INITIAL_RECONNECT_BACKOFF_MS,
  "grpc.enable_retries": 0,
};

function bidirectionalMethod(path: string) {
  return {
    path,
    requestStream: true,
    responseStream: true,
    requestSerialize: encodeFrame,
    requestDeserialize: decodeFrame,
    responseSerialize: encodeFrame,
    responseDeserialize: decodeFrame,
  };
}
