/**
 * A watch over the JSON gateway: a streaming response of newline-delimited
 * JSON. It doesn't resume after a failure; the caller has to list again and
 * start a new watch. Progress notifications tell an idle watch from a dead one.
 */
import { decodeBase64, prefixRange } from "./encoding.ts";
import type { Gateway } from "./gateway.ts";
import type { Change, Watch, WatchListener } from "./store.ts";
import { watchResponse, type WatchResult } from "./wire.ts";

export interface EtcdWatchOptions {
  readonly prefix: string;
  /** Revision of the first change to report. */
  readonly from: number;
  /** The watch ends after this time without a message, in milliseconds. */
  readonly silentMs: number;
  readonly listener: WatchListener;
}

export function openEtcdWatch(
  gateway: Gateway,
  options: EtcdWatchOptions,
): Watch {
  const { listener, silentMs } = options;
  const abortController = new AbortController();
  let isOpen = true;
  let lastReportedRevision = options.from - 1;
  let timer = setTimeout(endWatch, silentMs);

  readStream().then(endWatch, endWatch);
  return { close };

  async function readStream(): Promise<void> {
    const { signal } = abortController;
    const body = watchRequest(options);
    const response = await gateway.stream("/v3/watch", { body, signal });
    if (response.statusCode !== 200) {
      await response.body.dump();
      return;
    }
    for await (const line of readLines(response.body)) {
      const { result } = watchResponse.parse(JSON.parse(line));
      if (!isOpen || result.canceled) {
        return;
      }
      restartTimer();
      report(result);
    }
  }

  function report(watchResult: WatchResult): void {
    const changes = changesAfter(lastReportedRevision, watchResult);
    lastReportedRevision = changes.at(-1)?.revision ?? lastReportedRevision;
    for (const change of changes) {
      if (isOpen) {
        listener.changed(change);
      }
    }
  }

  function restartTimer(): void {
    clearTimeout(timer);
    timer = setTimeout(endWatch, silentMs);
  }

  function endWatch(): void {
    if (isOpen) {
      close();
      listener.ended();
    }
  }

  function close(): void {
    isOpen = false;
    clearTimeout(timer);
    abortController.abort();
  }
}

/**
 * The changes in one response that are newer than `revision`, oldest first. The
 * service sends all changes of a revision in the same response.
 */
export function changesAfter(
  revision: number,
  watchResult: WatchResult,
): readonly Change[] {
  return watchResult.events
    .filter(({ kv }) => kv.mod_revision > revision)
    .sort((a, b) => a.kv.mod_revision - b.kv.mod_revision)
    .map(({ type, kv }) => ({
      key: decodeBase64(kv.key),
      value: type === "DELETE" ? undefined : decodeBase64(kv.value),
      revision: kv.mod_revision,
    }));
}

function watchRequest({ prefix, from }: EtcdWatchOptions) {
  return {
    create_request: {
      ...prefixRange(prefix),
      start_revision: String(from),
      progress_notify: true,
    },
  };
}

async function* readLines(
  body: AsyncIterable<Uint8Array>,
): AsyncIterable<string> {
  const decoder = new TextDecoder();
  let remainder = "";
  for await (const chunk of body) {
    const lines = (remainder + decoder.decode(chunk, { stream: true })).split(
      "\n",
    );
    remainder = lines.pop() ?? "";
    yield* lines.filter((part) => part !== "");
  }
}
