/**
 * Answers of the etcd JSON gateway, in the parts that are used here. Fields
 * that hold their default value are left out by the service.
 */
import { z } from "zod";
import { decodeText } from "./encoding.ts";
import type { Versioned } from "./store.ts";

const integer = z.union([z.string(), z.number()]).transform(Number);

const header = z.object({ revision: integer.default(0) });

const pair = z.object({
  key: z.string(),
  value: z.string().default(""),
  mod_revision: integer.default(0),
});

export const rangeAnswer = z.object({
  header,
  kvs: z.array(pair).default([]),
});

export const swapAnswer = z.object({
  header,
  succeeded: z.boolean().default(false),
  responses: z.array(
    z.object({
      response_range: z.object({ kvs: z.array(pair).default([]) }).optional(),
    }),
  ).default([]),
});

export const grantAnswer = z.object({ ID: z.string(), TTL: integer });

export const renewAnswer = z.object({
  result: z.object({ ID: z.string(), TTL: integer.default(0) }),
});

export const anyAnswer = z.unknown();

export const watchAnswer = z.object({
  result: z.object({
    header,
    canceled: z.boolean().default(false),
    events: z.array(
      z.object({ type: z.enum(["PUT", "DELETE"]).default("PUT"), kv: pair }),
    ).default([]),
  }),
});

/** An error as the gateway reports it, with the gRPC status code. */
export const errorAnswer = z.object({
  code: z.number(),
  message: z.string().default(""),
});

export type Pair = z.infer<typeof pair>;
export type WatchAnswer = z.infer<typeof watchAnswer>["result"];

export function toVersioned(found: Pair): Versioned {
  return {
    key: decodeText(found.key),
    value: decodeText(found.value),
    revision: found.mod_revision,
  };
}
