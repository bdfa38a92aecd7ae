/** Interfaces of the external systems that the processes depend on. */
import type { QueueTable } from "@coltsfootreach/run";
import type {
  ListReply,
  ListRequest,
  StartReply,
  StartRequest,
  StopReply,
  StopRequest,
} from "@coltsfootreach/worker";
import type { Result } from "neverthrow";

/** Client of this VM's backend server; its promises never reject. */
export interface BackendServerClient {
  start(request: StartRequest): Promise<StartReply>;
  stop(request: StopRequest): Promise<StopReply>;
  list(request: ListRequest): Promise<ListReply>;
}

/** Store key of the operators' configuration, and its decoder. */
export interface ConfigurationSource {
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
