/**
 * One watch over the JSON gateway: a response of newline-delimited JSON that
 * does not end by itself. It never resumes; whoever watches lists again and
 * watches from there. The service's progress notifications keep a quiet watch
 * from being taken for a dead one.
 */
import { decodeText, prefixRange } from "./encoding.ts";
import type { Gateway } from "./gateway.ts";
import type { Change, Watch, WatchListener } from "./store.ts";
import { type WatchAnswer, watchAnswer } from "./wire.ts";

export interface EtcdWatchOptions {
  readonly prefix: string;
  /** First revision to report. */
  readonly from: number;
  /** Longest time without any message from the service, in milliseconds. */
  readonly silentMs: number;
  readonly listener: WatchListener;
}

export function openEtcdWatch(
  gateway: Gateway,
  options: EtcdWatchOptions,
): Watch {
  const { listener, silentMs } = options;
  const abort = new AbortController();
  let open = true;
  let reportedUpTo = options.from - 1;
  let timer = setTimeout(end, silentMs);

  follow().then(end, end);
  return { close };

  async function follow(): Promise<void> {
    const { signal } = abort;
    const body = watchRequest(options);
    const response = await gateway.stream("/v3/watch", { body, signal });
    if (response.statusCode !== 200) {
      await response.body.dump();
      return;
    }
    for await (const line of lines(response.body)) {
      const { result } = watchAnswer.parse(JSON.parse(line));
      if (!open || result.canceled) {
        return;
      }
      restartTimer();
      report(result);
    }
  }

  function report(answer: WatchAnswer): void {
    const changes = changesAfter(reportedUpTo, answer);
    reportedUpTo = changes.at(-1)?.revision ?? reportedUpTo;
    for (const change of changes) {
      if (open) {
        listener.changed(change);
      }
    }
  }

  function restartTimer(): void {
    clearTimeout(timer);
    timer = setTimeout(end, silentMs);
  }

  function end(): void {
    if (open) {
      close();
      listener.ended();
    }
  }

  function close(): void {
    open = false;
    clearTimeout(timer);
    abort.abort();
  }
}

/**
 * The changes of one answer that are newer than `revision`, oldest first. The
 * service sends all changes of one revision in one answer.
 */
export function changesAfter(
  revision: number,
  answer: WatchAnswer,
): readonly Change[] {
  return answer.events
    .filter(({ kv }) => kv.mod_revision > revision)
    .sort((a, b) => a.kv.mod_revision - b.kv.mod_revision)
    .map(({ type, kv }) => ({
      key: decodeText(kv.key),
      value: type === "DELETE" ? undefined : decodeText(kv.value),
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

async function* lines(body: AsyncIterable<Uint8Array>): AsyncIterable<string> {
  const decoder = new TextDecoder();
  let rest = "";
  for await (const chunk of body) {
    const parts = (rest + decoder.decode(chunk, { stream: true })).split("\n");
    rest = parts.pop() ?? "";
    yield* parts.filter((part) => part !== "");
  }
}
