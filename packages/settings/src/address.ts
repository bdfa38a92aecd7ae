/**
 * Network addresses of processes. The host must be an IP address, because
 * processes discover each other without DNS.
 */
import { isIP, isIPv6 } from "node:net";
import { z } from "zod";

export interface Address {
  readonly host: string;
  readonly port: number;
}

const MAX_PORT = 65_535;
const ADDRESS_PATTERN = /^(?:\[([^\]]+)\]|([^:]+)):(\d{1,5})$/;

/** Parses "10.0.0.1:80" or "[::1]:80"; undefined for any other text. */
export function parseAddress(text: string): Address | undefined {
  const match = ADDRESS_PATTERN.exec(text);
  const host = match?.[1] ?? match?.[2] ?? "";
  const port = Number(match?.[3]);
  if (match === null || isIP(host) === 0 || port > MAX_PORT) {
    return undefined;
  }
  return { host, port };
}

export function formatAddress(address: Address): string {
  const host = isIPv6(address.host) ? `[${address.host}]` : address.host;
  return `${host}:${address.port}`;
}

/** A listen address; port 0 lets the operating system choose the port. */
export function listenAddressSchema() {
  return z.string().transform((text, context): Address => {
    const address = parseAddress(text);
    if (address !== undefined) return address;
    context.addIssue({
      code: "custom",
      message:
        `"${text}" is not a valid address; expected an IP address and a port`,
    });
    return z.NEVER;
  });
}

/** An address that others connect to, as `IP:port`. */
export function remoteAddressSchema() {
  return z.string().refine(
    (text) => (parseAddress(text)?.port ?? 0) > 0,
    "expected an IP address and a port other than 0",
  );
}

/** An HTTP origin such as "http://10.0.0.5:2379". */
export function originSchema() {
  return z.string().refine(
    isHttpOrigin,
    "expected http://IP:PORT or https://IP:PORT",
  )
    .transform((text) => new URL(text).origin);
}

function isHttpOrigin(text: string): boolean {
  if (!URL.canParse(text)) return false;
  const url = new URL(text);
  const isBareOrigin = url.pathname === "/" && url.search === "" &&
    url.username === "";
  return isBareOrigin && ["http:", "https:"].includes(url.protocol);
}
