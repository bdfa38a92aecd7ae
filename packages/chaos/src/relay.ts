/**
 * A TCP relay on loopback in front of one entry's links. It refuses
 * connections, drops them, delays what they carry, or lets them go silent
 * without closing them.
 */
import { connect, createServer, type Socket } from "node:net";
import type { Direction } from "./act.ts";

export type RelayMode = "pass" | "refuse" | "silent";

export interface Relay {
  /** As `IP:port`. */
  readonly address: string;
  /** What happens to new connections, and in `refuse` to open ones too. */
  setMode(mode: RelayMode): void;
  /** Makes open connections silent for good; `pick` chooses them. */
  silenceOpen(direction: Direction, pick: () => boolean): void;
  dropOpen(): void;
  /** Delays what comes from now on, in both directions. */
  setDelay(delayMs: number): void;
  close(): void;
}

interface Pair {
  readonly near: Socket;
  readonly far: Socket;
  isSilentToEntry: boolean;
  isSilentFromEntry: boolean;
}

const LOOPBACK = "127.0.0.1";

export async function startRelay(target: string): Promise<Relay> {
  const [host, port] = target.split(":") as [string, string];
  const pairs = new Set<Pair>();
  let mode: RelayMode = "pass";
  let delayMs = 0;

  const server = createServer((near) => {
    if (mode === "refuse") {
      near.resetAndDestroy();
      return;
    }
    const isSilent = mode === "silent";
    const far = connect(Number(port), host);
    const pair: Pair = {
      near,
      far,
      isSilentToEntry: isSilent,
      isSilentFromEntry: isSilent,
    };
    pairs.add(pair);
    const delay = () => delayMs;
    forward(near, far, { isSilent: () => pair.isSilentToEntry, delay });
    forward(far, near, { isSilent: () => pair.isSilentFromEntry, delay });
    const forget = () => {
      if (near.destroyed && far.destroyed) pairs.delete(pair);
    };
    near.on("close", forget);
    far.on("close", forget);
  });

  function drop(pair: Pair): void {
    pair.near.resetAndDestroy();
    pair.far.resetAndDestroy();
    pairs.delete(pair);
  }

  function dropOpen(): void {
    for (const pair of [...pairs]) drop(pair);
  }

  await new Promise<void>((done) => server.listen(0, LOOPBACK, done));
  const bound = server.address() as { port: number };
  return {
    address: `${LOOPBACK}:${bound.port}`,
    setMode(next) {
      mode = next;
      if (mode === "refuse") dropOpen();
      if (mode !== "silent") return;
      for (const pair of pairs) silence(pair, "both");
    },
    silenceOpen(direction, pick) {
      for (const pair of pairs) {
        if (pick()) silence(pair, direction);
      }
    },
    dropOpen,
    setDelay(next) {
      delayMs = next;
    },
    close() {
      server.close();
      dropOpen();
    },
  };
}

function silence(pair: Pair, direction: Direction): void {
  if (direction !== "fromEntry") pair.isSilentToEntry = true;
  if (direction !== "toEntry") pair.isSilentFromEntry = true;
}

interface Passage {
  isSilent(): boolean;
  /** Milliseconds that bytes are held up. */
  delay(): number;
}

/** Passes bytes and the end on, unless this direction is silent. */
function forward(from: Socket, to: Socket, passage: Passage): void {
  const held: Buffer[] = [];

  function pass(bytes: Buffer): void {
    if (passage.isSilent() || to.destroyed) return;
    if (to.write(bytes)) return;
    from.pause();
    to.once("drain", () => from.resume());
  }

  from.setNoDelay(true);
  from.on("data", (bytes) => {
    const delayMs = passage.delay();
    if (delayMs === 0 && held.length === 0) return pass(bytes);
    held.push(bytes);
    // Whichever timer fires first passes the oldest bytes.
    setTimeout(() => pass(held.shift()!), delayMs);
  });
  from.on("error", () => from.destroy());
  // The end takes as long as the bytes before it.
  from.on("close", () => {
    setTimeout(() => {
      if (!passage.isSilent()) to.destroy();
    }, passage.delay());
  });
}
