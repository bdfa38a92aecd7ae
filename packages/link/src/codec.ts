/**
 * Encodes frames as MessagePack with inline record structures, so a frame with
 * many messages of the same shape contains their field names only once.
 */
import { Packr } from "msgpackr";

const packr = new Packr({ useRecords: true, encodeUndefinedAsNil: false });

export function encodeFrame(frame: unknown): Buffer {
  // Copied, because the packer reuses its buffer before gRPC has written it.
  return Buffer.from(packr.pack(frame));
}

export function decodeFrame(bytes: Buffer): unknown {
  return packr.unpack(bytes);
}
