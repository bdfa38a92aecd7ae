/**
 * Finds free ports on loopback, below the range from which the system takes
 * ports for outgoing connections: one of those could be taken again before the
 * daemon that is to have it listens.
 */
import { createServer } from "node:net";

const LOWEST_PORT = 15_000;

const HIGHEST_PORT = 32_000;

/** Fleets that start at the same time begin at different ports. */
let next = LOWEST_PORT +
  Math.floor(Math.random() * (HIGHEST_PORT - LOWEST_PORT));

export async function findFreePorts(count: number): Promise<number[]> {
  const ports: number[] = [];
  while (ports.length < count) {
    next = next < HIGHEST_PORT ? next + 1 : LOWEST_PORT;
    if (await isFree(next)) ports.push(next);
  }
  return ports;
}

function isFree(port: number): Promise<boolean> {
  return new Promise((resolve) => {
    const server = createServer();
    server.once("error", () => resolve(false));
    server.listen(port, "127.0.0.1", () => {
      server.close(() => resolve(true));
    });
  });
}
