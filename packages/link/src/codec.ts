/**
 * How frames are written on streams: MessagePack with inline record layouts,
 * so that a frame of many like messages names its fields once.
 */
import { Packr } from "msgpackr";

const packr = new Packr({ useRecords: true, encodeUndefinedAsNil: false });

export function encodeFrame(frame: unknown): Buffer {
  // The packer reuses its buffer, and gRPC writes later.
  return Buffer.from(packr.pack(frame));
}

export function decodeFrame(bytes: Buffer): unknown {
  return packr.unpack(bytes);
}
