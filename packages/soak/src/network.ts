/**
 * Loopback networks for fleets of real processes. Several may run on one machine
 * at a time, so each takes a network that no other one uses.
 */
import { createServer } from "node:net";
import process from "node:process";

/** First of the networks `127.N`. */
const FIRST_NETWORK = 20;

const NETWORK_COUNT = 230;

const STORE_HOST = "4.1";

const STORE_PORT = 8169;

/** Address of a fleet's store, which is in use for as long as the fleet runs. */
export function storeAddressIn(networkPrefix: string): string {
  return `${networkPrefix}.${STORE_HOST}:${STORE_PORT}`;
}

/** Finds a network without a fleet, as `127.N`. */
export async function findFreeNetwork(): Promise<string> {
  for (let step = 0; step < NETWORK_COUNT; step += 1) {
    const index = (process.pid + step) % NETWORK_COUNT;
    const networkPrefix = `127.${FIRST_NETWORK + index}`;
    if (await isFree(networkPrefix)) return networkPrefix;
  }
  throw new Error("all loopback networks are in use");
}

function isFree(networkPrefix: string): Promise<boolean> {
  return new Promise((resolve) => {
    const probe = createServer();
    probe.on("error", () => resolve(false));
    probe.listen(
      STORE_PORT,
      `${networkPrefix}.${STORE_HOST}`,
      () => probe.close(() => resolve(true)),
    );
  });
}
