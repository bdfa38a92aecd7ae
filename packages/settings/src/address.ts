/**
 * Addresses of processes. They are IP numbers and a port, because processes
 * find each other without a name service.
 */
import { isIP, isIPv6 } from "node:net";
import { z } from "zod";

export interface Address {
  readonly host: string;
  readonly port: number;
}

const HIGHEST_PORT = 65_535;
const ADDRESS = /^(?:\[([^\]]+)\]|([^:]+)):(\d{1,5})$/;

/** Parses "10.0.0.1:80" or "[::1]:80"; undefined when it is neither. */
export function parseAddress(text: string): Address | undefined {
  const match = ADDRESS.exec(text);
  const host = match?.[1] ?? match?.[2] ?? "";
  const port = Number(match?.[3]);
  if (match === null || isIP(host) === 0 || port > HIGHEST_PORT) {
    return undefined;
  }
  return { host, port };
}

export function formatAddress(address: Address): string {
  const host = isIPv6(address.host) ? `[${address.host}]` : address.host;
  return `${host}:${address.port}`;
}

/** Where a process listens; port 0 lets the system choose one. */
export function listenAddress() {
  return z.string().transform((text, context): Address => {
    const address = parseAddress(text);
    if (address !== undefined) return address;
    context.addIssue({
      code: "custom",
      message: `"${text}" is no address; write an IP number and a port`,
    });
    return z.NEVER;
  });
}

/** Where a process is reached, as `IP:port`. */
export function remoteAddress() {
  return z.string().refine(
    (text) => (parseAddress(text)?.port ?? 0) > 0,
    "write an IP number and a port other than 0",
  );
}

/** An HTTP origin such as "http://10.0.0.5:2379". */
export function origin() {
  return z.string().refine(isOrigin, "write http://IP:PORT or https://IP:PORT")
    .transform((text) => new URL(text).origin);
}

function isOrigin(text: string): boolean {
  if (!URL.canParse(text)) return false;
  const url = new URL(text);
  const bare = url.pathname === "/" && url.search === "" && url.username === "";
  return bare && ["http:", "https:"].includes(url.protocol);
}
