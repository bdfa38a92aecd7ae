/** TLS credentials for the links between processes. */
import { readFileSync } from "node:fs";
import {
  ChannelCredentials,
  credentials,
  ServerCredentials,
} from "@grpc/grpc-js";
import type { TlsSettings } from "@coltsfootreach/settings";

export interface LinkCredentials {
  readonly server: ServerCredentials;
  readonly client: ChannelCredentials;
}

/** Reads credentials for mutual TLS: the authority must sign both ends. */
export function readCredentials(
  tls: TlsSettings | undefined,
): LinkCredentials | undefined {
  if (tls === undefined) return undefined;
  const authority = readFileSync(tls.authority);
  const certificate = readFileSync(tls.certificate);
  const key = readFileSync(tls.key);
  const pairs = [{ private_key: key, cert_chain: certificate }];
  return {
    server: ServerCredentials.createSsl(authority, pairs, true),
    client: credentials.createSsl(authority, key, certificate),
  };
}
