/**
 * Implements `Store` over the JSON gateway of etcd v3.
 */
import { StoreUnavailable } from "@coltsfootreach/errors";
import { err, ok, type Result, ResultAsync } from "neverthrow";
import type { z } from "zod";
import { encodeBase64, prefixRange } from "./encoding.ts";
import { openEtcdWatch } from "./etcd_watch.ts";
import { type Failure, NOT_FOUND } from "./failure.ts";
import {
  createGateway,
  type GatewayOptions,
  type GatewayRequest,
} from "./gateway.ts";
import type {
  Lease,
  Listing,
  Store,
  Swap,
  VersionedValue,
  Write,
} from "./store.ts";
import {
  ignoredResponse,
  leaseGrantResponse,
  leaseKeepAliveResponse,
  rangeResponse,
  toVersionedValue,
  txnResponse,
} from "./wire.ts";

export interface EtcdStoreOptions extends GatewayOptions {
  /**
   * A watch ends when it gets no message for this long, in milliseconds. Must
   * be longer than the service's progress notification interval; otherwise
   * every idle watch ends and has to be reopened.
   */
  readonly watchSilentMs: number;
}

/** A store that keeps connections open until it is closed. */
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
  ): ResultAsync<VersionedValue | undefined, StoreUnavailable> {
    return readRange({ key: encodeBase64(key) })
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
      answer: rangeResponse,
    }).map(({ kvs, header }) => ({
      values: kvs.map(toVersionedValue),
      revision: header.revision,
    }));
  }

  function swap(write: Write): ResultAsync<Swap, StoreUnavailable> {
    const put = {
      key: encodeBase64(write.key),
      value: encodeBase64(write.value),
      ...(write.lease === undefined ? {} : { lease: write.lease.id }),
    };
    return compareAndApply(write, { request_put: put });
  }

  function remove(
    key: string,
    expectedRevision: number,
  ): ResultAsync<Swap, StoreUnavailable> {
    const deleteRange = { key: encodeBase64(key) };
    return compareAndApply({ key, expectedRevision }, {
      request_delete_range: deleteRange,
    });
  }

  function compareAndApply(
    precondition: Pick<Write, "key" | "expectedRevision">,
    operation: unknown,
  ): ResultAsync<Swap, StoreUnavailable> {
    const key = encodeBase64(precondition.key);
    const compare = {
      key,
      target: "MOD",
      result: "EQUAL",
      mod_revision: String(precondition.expectedRevision),
    };
    const body = {
      compare: [compare],
      success: [operation],
      failure: [{ request_range: { key } }],
    };
    return post({ call: "swap", path: "/v3/kv/txn", body, answer: txnResponse })
      .map(toSwap);
  }

  function grant(ttlSeconds: number): ResultAsync<Lease, StoreUnavailable> {
    return post({
      call: "grant",
      path: "/v3/lease/grant",
      body: { TTL: String(ttlSeconds), ID: "0" },
      answer: leaseGrantResponse,
    }).map(({ ID, TTL }) => ({ id: ID, ttlSeconds: TTL }));
  }

  function renew(lease: Lease): ResultAsync<boolean, StoreUnavailable> {
    return post({
      call: "renew",
      path: "/v3/lease/keepalive",
      body: { ID: lease.id },
      answer: leaseKeepAliveResponse,
    }).map(({ result }) => result.TTL > 0);
  }

  function revoke(lease: Lease): ResultAsync<void, StoreUnavailable> {
    const request = {
      call: "revoke",
      path: "/v3/lease/revoke",
      body: { ID: lease.id },
      answer: ignoredResponse,
    } as const;
    const response = gateway.post(request).then(ignoreExpiredLease);
    return new ResultAsync(response).mapErr((failure) =>
      toStoreUnavailable("revoke", failure)
    );
  }

  function post<S extends z.ZodType>(
    request: GatewayRequest<S>,
  ): ResultAsync<z.infer<S>, StoreUnavailable> {
    return new ResultAsync(gateway.post(request)).mapErr((failure) =>
      toStoreUnavailable(request.call, failure)
    );
  }
}

function toStoreUnavailable(
  call: GatewayRequest<z.ZodType>["call"],
  failure: Failure,
): StoreUnavailable {
  const verdict = call === "read" ? "notRun" : failure.verdict;
  return new StoreUnavailable(verdict, `${call}: ${failure.reason}`);
}

function ignoreExpiredLease(
  result: Result<unknown, Failure>,
): Result<void, Failure> {
  if (result.isErr() && result.error.code !== NOT_FOUND) {
    return err(result.error);
  }
  return ok(undefined);
}

function toSwap(response: z.infer<typeof txnResponse>): Swap {
  if (response.succeeded) {
    return { kind: "swapped", revision: response.header.revision };
  }
  const current = response.responses[0]?.response_range?.kvs[0];
  return {
    kind: "conflict",
    current: current === undefined ? undefined : toVersionedValue(current),
  };
}
