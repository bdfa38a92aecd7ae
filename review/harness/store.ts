/**
 * Stand-in for the platform's store: keys with revisions and leases, ranges,
 * watches and conditional writes.
 */
import type { Socket } from "node:net";
import {
  type JsonRequest,
  type JsonResponse,
  type JsonServer,
  serveJson,
} from "./json_server.ts";
import type { RecordLog } from "./record.ts";

interface Item {
  readonly key: string;
  readonly value: string;
  readonly revision: number;
  readonly created: number;
  readonly lease: number;
}

interface Event {
  readonly key: string;
  readonly revision: number;
  readonly value?: string;
  readonly removed?: boolean;
  readonly lease?: number;
  readonly created?: number;
}

interface Snapshot {
  readonly atMs: number;
  readonly items: readonly Item[];
  readonly revision: number;
}

export interface StoreOptions {
  readonly address: string;
  readonly record: RecordLog;
  /** Age of what serializable reads return. */
  readonly staleMs: number;
}

export interface Store extends JsonServer {
  /** Writes as the operator does; the return is its acknowledgement. */
  write(key: string, value: unknown): void;
  /** Writes as some other program does. */
  writeBytes(key: string, bytes: Uint8Array): void;
  /** Connections that are open now get no bytes any more; new ones work. */
  silenceConnections(): void;
}

const WATCH_POLL_MS = 5;

const SWEEP_MS = 50;

export async function startStore(options: StoreOptions): Promise<Store> {
  const { record } = options;
  const items = new Map<string, Item>();
  const leases = new Map<number, { ttlMs: number; endsAt: number }>();
  const events: Event[] = [];
  const sockets = new Set<Socket>();
  const silent = new Set<Socket>();
  let snapshots: Snapshot[] = [];
  let revision = 1;
  let nextLease = 1000;
  let isClosed = false;

  function takeSnapshot(): void {
    const atMs = performance.now();
    snapshots.push({ atMs, items: [...items.values()], revision });
    const oldest = atMs - options.staleMs - 10_000;
    const keep = snapshots.findLastIndex((snapshot) => snapshot.atMs <= oldest);
    if (keep > 0) snapshots = snapshots.slice(keep);
  }

  function put(key: string, value: string, lease: number): void {
    revision += 1;
    const created = items.get(key)?.created ?? revision;
    const item = { key, value, revision, created, lease };
    items.set(key, item);
    events.push(item);
    takeSnapshot();
  }

  function remove(key: string): void {
    if (!items.delete(key)) return;
    revision += 1;
    events.push({ key, revision, removed: true });
    takeSnapshot();
  }

  function endLease(id: number): void {
    leases.delete(id);
    for (const [key, item] of items) if (item.lease === id) remove(key);
  }

  function range(url: URL): JsonResponse {
    const prefix = url.searchParams.get("prefix") ?? "";
    const isStale = url.searchParams.get("serializable") === "1";
    const at = performance.now() - (isStale ? options.staleMs : 0);
    const state = snapshots.findLast((snapshot) => snapshot.atMs <= at) ??
      { items: [], revision: 1 };
    const found = state.items.filter((item) => item.key.startsWith(prefix))
      .sort((left, right) => left.key < right.key ? -1 : 1);
    const body = {
      items: found,
      truncated: false,
      current_rev: state.revision,
    };
    return { status: 200, body };
  }

  async function watch(url: URL): Promise<JsonResponse> {
    const prefix = url.searchParams.get("prefix") ?? "";
    const after = Number(url.searchParams.get("after"));
    const endsAt = performance.now() + Number(url.searchParams.get("wait_ms"));
    while (performance.now() < endsAt && !isClosed) {
      const found = events.filter((event) =>
        event.revision > after && event.key.startsWith(prefix)
      );
      if (found.length > 0) {
        return { status: 200, body: { events: found, current_rev: revision } };
      }
      await new Promise((resolve) => setTimeout(resolve, WATCH_POLL_MS));
    }
    return { status: 200, body: { events: [], current_rev: revision } };
  }

  function transact(body: JsonRequest["body"]): JsonResponse {
    const conditions = (body.expected_rev ?? []) as {
      readonly key: string;
      readonly revision: number;
    }[];
    const writes = (body.writes ?? []) as {
      readonly key: string;
      readonly value: string;
      readonly lease?: number;
    }[];
    const isMet = conditions.every(({ key, revision: expected }) =>
      (items.get(key)?.revision ?? 0) === expected
    );
    if (!isMet) {
      const current = conditions.map(({ key }) => items.get(key))
        .filter((item) => item !== undefined);
      return { status: 412, body: { items: current } };
    }
    for (const { lease = 0 } of writes) {
      if (lease !== 0 && !leases.has(lease)) return { status: 404 };
    }
    for (const { key, value, lease = 0 } of writes) put(key, value, lease);
    for (const key of (body.deletes ?? []) as string[]) remove(key);
    return { status: 200, body: { revision } };
  }

  function handleLease(path: string, body: JsonRequest["body"]): JsonResponse {
    const id = Number(path.split("/").at(-1));
    if (path === "/v1/kv-lease") {
      const ttlMs = Number(body.ttl_ms);
      nextLease += 1;
      leases.set(nextLease, { ttlMs, endsAt: performance.now() + ttlMs });
      return { status: 200, body: { lease: nextLease, ttl_ms: ttlMs } };
    }
    const lease = leases.get(id);
    if (lease === undefined) return { status: 404 };
    if (path.startsWith("/v1/kv-lease-end/")) endLease(id);
    else lease.endsAt = performance.now() + lease.ttlMs;
    return { status: 200, body: { ttl_ms: lease.ttlMs } };
  }

  async function execute(request: JsonRequest): Promise<JsonResponse> {
    const { pathname } = request.url;
    switch (pathname) {
      case "/v1/kv-range":
        return range(request.url);
      case "/v1/kv-watch":
        return await watch(request.url);
      case "/v1/kv-txn":
        return transact(request.body);
      case "/v1/kv-key": {
        const item = items.get(request.url.searchParams.get("key") ?? "");
        return item === undefined
          ? { status: 404 }
          : { status: 200, body: { ...item, current_rev: revision } };
      }
      default:
        return handleLease(pathname, request.body);
    }
  }

  async function handle(
    request: JsonRequest,
  ): Promise<JsonResponse | undefined> {
    sockets.add(request.socket);
    if (silent.has(request.socket)) return undefined;
    const response = await execute(request);
    return silent.has(request.socket) ? undefined : response;
  }

  takeSnapshot();
  const server = await serveJson(options.address, handle);
  const sweep = setInterval(() => {
    for (const [id, lease] of leases) {
      if (lease.endsAt <= performance.now()) endLease(id);
    }
  }, SWEEP_MS);
  return {
    write(key, value) {
      put(key, Buffer.from(JSON.stringify(value)).toString("base64"), 0);
      record.add(`operator: write of ${key} is acknowledged`);
    },
    writeBytes(key, bytes) {
      put(key, Buffer.from(bytes).toString("base64"), 0);
      record.add(`another writer: ${bytes.length} bytes at ${key}`);
    },
    silenceConnections() {
      let count = 0;
      for (const socket of sockets) {
        if (socket.destroyed) continue;
        silent.add(socket);
        count += 1;
      }
      record.add(`${count} open connections to the store go silent`);
    },
    close() {
      isClosed = true;
      clearInterval(sweep);
      return server.close();
    },
  };
}
