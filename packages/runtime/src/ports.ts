/** Interfaces of the external systems that the processes depend on. */
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

/** Client of this VM's backend server; its promises never reject. */
export interface ServerCalls {
  start(order: StartOrder): Promise<StartReply>;
  stop(order: StopOrder): Promise<StopReply>;
  list(order: ListOrder): Promise<ListReply>;
}

/** Store key of the operators' configuration, and its decoder. */
export interface ConfigurationDocument {
  readonly key: string;
  decode(text: string): Result<QueueTable, InvalidDocument>;
}

/** A document that fails validation, with the invalid field. */
export class InvalidDocument extends Error {
  constructor(readonly field: string, reason: string) {
    super(`${field}: ${reason}`);
    this.name = "InvalidDocument";
  }
}
