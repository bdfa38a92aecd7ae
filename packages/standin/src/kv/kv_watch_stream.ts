/** A watch as the gateway answers it: newline-delimited JSON without end. */
import type { Cancel } from "../clock/clock.ts";
import { keyOf, type KeyspaceChange } from "./keyspace.ts";
import {
  encodeBytes,
  toKeyRange,
  toWirePair,
  type WatchRequest,
} from "./kv_request.ts";
import type { KvService } from "./service.ts";
import type { Watcher } from "./watchers.ts";

export function openWatchStream(
  service: KvService,
  request: WatchRequest,
): ReadableStream<Uint8Array> {
  const encoder = new TextEncoder();
  let cancel: Cancel = () => {};

  return new ReadableStream<Uint8Array>({
    start(controller) {
      const send = (result: unknown) => {
        const line = `${JSON.stringify({ result })}\n`;
        controller.enqueue(encoder.encode(line));
      };
      send({ header: header(service.keyspace.revision()), created: true });
      cancel = service.watch(
        watcherOf(request, { send, end: () => controller.close() }),
      );
    },
    cancel() {
      cancel();
    },
  });
}

interface Output {
  send(result: unknown): void;
  end(): void;
}

function watcherOf(request: WatchRequest, { send, end }: Output): Watcher {
  return {
    range: toKeyRange(request),
    from: request.start_revision,
    changed: (revision, changes) =>
      send({ header: header(revision), events: changes.map(toEvent) }),
    progressed: (revision) =>
      request.progress_notify && send({ header: header(revision) }),
    compacted(revision) {
      const compact_revision = String(revision);
      send({ header: header(revision), canceled: true, compact_revision });
      end();
    },
    broken: end,
  };
}

function header(revision: number) {
  return { revision: String(revision) };
}

function toEvent(change: KeyspaceChange) {
  if (change.kind === "put") {
    return { kv: toWirePair(change.pair) };
  }
  const key = encodeBytes(keyOf(change));
  return { type: "DELETE", kv: { key, mod_revision: String(change.revision) } };
}
