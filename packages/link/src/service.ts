/**
 * The gRPC service between the system's processes: one method for sides and
 * one for entries, each a stream of frames in both directions.
 */
import { type ChannelOptions, type ServiceDefinition } from "@grpc/grpc-js";
import { decodeFrame, encodeFrame } from "./codec.ts";

/** Largest frame: the evidence of a side or a hand-over of many records. */
const MAX_FRAME_BYTES = 64 * 1024 * 1024;

/** Time to set up a connection before it counts as failed. */
const CONNECT_BACKOFF_MS = 100;

export const LINK_SERVICE = {
  side: method("/coltsfootreach.Link/Side"),
  peer: method("/coltsfootreach.Link/Peer"),
} satisfies ServiceDefinition;

export const CHANNEL_OPTIONS: ChannelOptions = {
  "grpc.max_receive_message_length": MAX_FRAME_BYTES,
  "grpc.max_send_message_length": MAX_FRAME_BYTES,
  // A silent connection must not be shared with the stream that replaces it.
  "grpc.use_local_subchannel_pool": 1,
  "grpc.initial_reconnect_backoff_ms": CONNECT_BACKOFF_MS,
  "grpc.enable_retries": 0,
};

function method(path: string) {
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
