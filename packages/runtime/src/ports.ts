/** What the processes need from whoever speaks to the outside. */
import type { QueueTable } from "@coltsfootreach/run";
import type {
  ListOrder,
  ListReply,
  StartOrder,
  StartReply,
  StopOrder,
  StopReply,
} from "@coltsfootreach/worker";
import type { Result } from "neverthrow";

/** Gives orders to the backend server of this VM; never rejects. */
export interface ServerCalls {
  start(order: StartOrder): Promise<StartReply>;
  stop(order: StopOrder): Promise<StopReply>;
  list(order: ListOrder): Promise<ListReply>;
}

/** Where the operators' configuration lies, and how it is read. */
export interface ConfigurationDocument {
  /** Key in the store. */
  readonly key: string;
  decode(text: string): Result<QueueTable, InvalidDocument>;
}

/** A document that cannot be used, with the field at fault. */
export class InvalidDocument extends Error {
  constructor(readonly field: string, reason: string) {
    super(`${field}: ${reason}`);
    this.name = "InvalidDocument";
  }
}
