/** Finds out whether anything listens at an address. */
import { connect } from "node:net";

const PROBE_TIMEOUT_MS = 500;

/**
 * True only when the connection is refused, which the VM of an ended process
 * does; silence proves nothing.
 */
export function isRefused(address: string): Promise<boolean> {
  const { hostname, port } = new URL(`tcp://${address}`);
  const host = hostname.replace(/^\[|\]$/g, "");
  return new Promise((resolve) => {
    const socket = connect({ host, port: Number(port) });
    const settle = (refused: boolean) => {
      socket.destroy();
      resolve(refused);
    };
    socket.setTimeout(PROBE_TIMEOUT_MS, () => settle(false));
    socket.on("connect", () => settle(false));
    socket.on("error", (error: NodeJS.ErrnoException) => {
      settle(error.code === "ECONNREFUSED");
    });
  });
}
