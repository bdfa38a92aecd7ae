/** What commands use of the world around them; tests bring their own. */
import type { Result } from "neverthrow";
import type { InvalidFile } from "@coltsfootreach/errors";
import type { OperatorSettings, StoreSettings } from "@coltsfootreach/settings";
import type { Store } from "@coltsfootreach/store";

/** A store that holds connections until it is closed. */
export interface ConnectedStore {
  readonly store: Store;
  close(): Promise<void>;
}

export interface Context {
  readonly settings: () => Result<OperatorSettings, InvalidFile>;
  readonly connectStore: (settings: StoreSettings) => ConnectedStore;
  /** Who makes the change; kept with each version. */
  readonly author: string;
  /** Unix milliseconds. */
  readonly now: () => number;
  readonly sleep: (ms: number) => Promise<void>;
  readonly newToken: () => string;
}
