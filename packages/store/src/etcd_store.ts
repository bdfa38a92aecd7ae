/**
 * The key-value service over the JSON gateway of etcd v3.
 */
import { StoreUnavailable } from "@coltsfootreach/errors";
import { err, ok, type Result, ResultAsync } from "neverthrow";
import type { z } from "zod";
import { encodeText, prefixRange } from "./encoding.ts";
import { openEtcdWatch } from "./etcd_watch.ts";
import { type Failure, NOT_FOUND } from "./failure.ts";
import { createGateway, type GatewayOptions, type Request } from "./gateway.ts";
import type { Lease, Listing, Store, Swap, Versioned, Write } from "./store.ts";
import {
  anyAnswer,
  grantAnswer,
  rangeAnswer,
  renewAnswer,
  swapAnswer,
  toVersioned,
} from "./wire.ts";

export interface EtcdStoreOptions extends GatewayOptions {
  /**
   * A watch without any message for this long has ended, in milliseconds.
   * Longer than the service's interval of progress notifications, or a quiet
   * watch ends and is opened again each time.
   */
  readonly watchSilentMs: number;
}

/** A store that holds connections until it is closed. */
export interface EtcdStore extends Store {
  close(): Promise<void>;
}

export function createEtcdStore(options: EtcdStoreOptions): EtcdStore {
  const gateway = createGateway(options);

  return {
    read,
    list,
    listStale,
    swap,
    remove,
    grant,
    renew,
    revoke,
    watch: (prefix, from, listener) =>
      openEtcdWatch(gateway, {
        prefix,
        from,
        listener,
        silentMs: options.watchSilentMs,
      }),
    calls: gateway.calls,
    close: gateway.close,
  };

  function read(
    key: string,
  ): ResultAsync<Versioned | undefined, StoreUnavailable> {
    return readRange({ key: encodeText(key) })
      .map((listing) => listing.values[0]);
  }

  function list(prefix: string): ResultAsync<Listing, StoreUnavailable> {
    return readRange(prefixRange(prefix));
  }

  function listStale(
    prefix: string,
  ): ResultAsync<Listing, StoreUnavailable> {
    return readRange({ ...prefixRange(prefix), serializable: true });
  }

  function readRange(range: unknown): ResultAsync<Listing, StoreUnavailable> {
    return post({
      call: "read",
      path: "/v3/kv/range",
      body: range,
      answer: rangeAnswer,
    }).map(({ kvs, header }) => ({
      values: kvs.map(toVersioned),
      revision: header.revision,
    }));
  }

  function swap(write: Write): ResultAsync<Swap, StoreUnavailable> {
    const put = {
      key: encodeText(write.key),
      value: encodeText(write.value),
      ...(write.lease === undefined ? {} : { lease: write.lease.id }),
    };
    return change(write, { request_put: put });
  }

  function remove(
    key: string,
    expectedRevision: number,
  ): ResultAsync<Swap, StoreUnavailable> {
    const target = { key: encodeText(key) };
    return change({ key, expectedRevision }, { request_delete_range: target });
  }

  function change(
    guard: Pick<Write, "key" | "expectedRevision">,
    operation: unknown,
  ): ResultAsync<Swap, StoreUnavailable> {
    const key = encodeText(guard.key);
    const compare = {
      key,
      target: "MOD",
      result: "EQUAL",
      mod_revision: String(guard.expectedRevision),
    };
    const body = {
      compare: [compare],
      success: [operation],
      failure: [{ request_range: { key } }],
    };
    return post({ call: "swap", path: "/v3/kv/txn", body, answer: swapAnswer })
      .map(toSwap);
  }

  function grant(ttlSeconds: number): ResultAsync<Lease, StoreUnavailable> {
    return post({
      call: "grant",
      path: "/v3/lease/grant",
      body: { TTL: String(ttlSeconds), ID: "0" },
      answer: grantAnswer,
    }).map(({ ID, TTL }) => ({ id: ID, ttlSeconds: TTL }));
  }

  function renew(lease: Lease): ResultAsync<boolean, StoreUnavailable> {
    return post({
      call: "renew",
      path: "/v3/lease/keepalive",
      body: { ID: lease.id },
      answer: renewAnswer,
    }).map(({ result }) => result.TTL > 0);
  }

  function revoke(lease: Lease): ResultAsync<void, StoreUnavailable> {
    const request = {
      call: "revoke",
      path: "/v3/lease/revoke",
      body: { ID: lease.id },
      answer: anyAnswer,
    } as const;
    const done = gateway.post(request).then(ignoreLapsedLease);
    return new ResultAsync(done).mapErr((failure) =>
      unavailable("revoke", failure)
    );
  }

  function post<S extends z.ZodType>(
    request: Request<S>,
  ): ResultAsync<z.infer<S>, StoreUnavailable> {
    return new ResultAsync(gateway.post(request)).mapErr((failure) =>
      unavailable(request.call, failure)
    );
  }
}

function unavailable(
  call: Request<z.ZodType>["call"],
  failure: Failure,
): StoreUnavailable {
  const verdict = call === "read" ? "notRun" : failure.verdict;
  return new StoreUnavailable(verdict, `${call}: ${failure.reason}`);
}

function ignoreLapsedLease(
  answer: Result<unknown, Failure>,
): Result<void, Failure> {
  if (answer.isErr() && answer.error.code !== NOT_FOUND) {
    return err(answer.error);
  }
  return ok(undefined);
}

function toSwap(answer: z.infer<typeof swapAnswer>): Swap {
  if (answer.succeeded) {
    return { kind: "swapped", revision: answer.header.revision };
  }
  const found = answer.responses[0]?.response_range?.kvs[0];
  return {
    kind: "conflict",
    current: found === undefined ? undefined : toVersioned(found),
  };
}
