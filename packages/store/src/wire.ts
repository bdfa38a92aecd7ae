/**
 * Schemas for the responses of the etcd JSON gateway, limited to the fields
 * that are used here. The gateway omits fields that have their default value.
 */
import { z } from "zod";
import { decodeBase64 } from "./encoding.ts";
import type { VersionedValue } from "./store.ts";

const integer = z.union([z.string(), z.number()]).transform(Number);

const header = z.object({ revision: integer.default(0) });

const keyValue = z.object({
  key: z.string(),
  value: z.string().default(""),
  mod_revision: integer.default(0),
});

export const rangeResponse = z.object({
  header,
  kvs: z.array(keyValue).default([]),
});

export const txnResponse = z.object({
  header,
  succeeded: z.boolean().default(false),
  responses: z.array(
    z.object({
      response_range: z.object({ kvs: z.array(keyValue).default([]) })
        .optional(),
    }),
  ).default([]),
});

export const leaseGrantResponse = z.object({ ID: z.string(), TTL: integer });

export const leaseKeepAliveResponse = z.object({
  result: z.object({ ID: z.string(), TTL: integer.default(0) }),
});

export const ignoredResponse = z.unknown();

export const watchResponse = z.object({
  result: z.object({
    header,
    canceled: z.boolean().default(false),
    events: z.array(
      z.object({
        type: z.enum(["PUT", "DELETE"]).default("PUT"),
        kv: keyValue,
      }),
    ).default([]),
  }),
});

/** Error body of the gateway; `code` is the gRPC status code. */
export const errorResponse = z.object({
  code: z.number(),
  message: z.string().default(""),
});

export type KeyValue = z.infer<typeof keyValue>;
export type WatchResult = z.infer<typeof watchResponse>["result"];

export function toVersionedValue(kv: KeyValue): VersionedValue {
  return {
    key: decodeBase64(kv.key),
    value: decodeBase64(kv.value),
    revision: kv.mod_revision,
  };
}
