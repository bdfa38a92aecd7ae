/**
 * Follows the version in force: one read, then one watch from there on. When
 * the watch ends or a read fails it begins again after a pause.
 */
import type { Change, Store, Watch } from "@coltsfootreach/store";
import type { Configuration } from "@coltsfootreach/types";
import type { ConfigurationSource } from "./holder.ts";
import type { ConfigurationKeys } from "./keys.ts";
import { createConfigurationRepository } from "./repository.ts";

export interface FollowOptions {
  readonly store: Store;
  readonly keys: ConfigurationKeys;
  /** Pause before a new try, in milliseconds. */
  readonly retryMs: number;
  /** Called with each version learned, which may be older than another. */
  learned(configuration: Configuration, source: ConfigurationSource): void;
  /** Called when the store could not be read. */
  failed(reason: string): void;
}

export interface Follower {
  close(): void;
}

export function followConfiguration(options: FollowOptions): Follower {
  const { store, keys, retryMs, learned, failed } = options;
  const repository = createConfigurationRepository(options);
  let watch: Watch | undefined;
  let timer: ReturnType<typeof setTimeout> | undefined;
  let closed = false;

  async function begin(): Promise<void> {
    const read = await repository.readHead();
    if (closed) return;
    if (read.isErr()) return beginLater(read.error.message);
    const head = read.value;
    watch = store.watch(keys.head, (head?.revision ?? 0) + 1, {
      changed: (change) => void take(change),
      ended: () => beginLater("the watch ended"),
    });
    if (head === undefined) return;
    const text = await repository.readText(head.record);
    text.match(
      (configuration) => tell(configuration, "read"),
      (fault) => beginLater(fault.message),
    );
  }

  async function take({ key, value, revision }: Change): Promise<void> {
    if (value === undefined) return;
    const resolved = await repository.resolve({ key, value, revision });
    resolved.match(
      (configuration) => tell(configuration, "watch"),
      (fault) => beginLater(fault.message),
    );
  }

  function tell(
    configuration: Configuration,
    source: ConfigurationSource,
  ): void {
    if (!closed) learned(configuration, source);
  }

  function beginLater(reason: string): void {
    if (closed) return;
    failed(reason);
    watch?.close();
    watch = undefined;
    clearTimeout(timer);
    timer = setTimeout(() => void begin(), retryMs);
  }

  void begin();
  return {
    close() {
      closed = true;
      clearTimeout(timer);
      watch?.close();
    },
  };
}
