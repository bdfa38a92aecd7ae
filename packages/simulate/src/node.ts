/** A VM of the fleet: up or down, frozen or awake. */
import type { SimulatedClock } from "./clock.ts";

export interface Node {
  isUp: boolean;
  frozenUntil: number;
  /** Counts the processes of the node. */
  life: number;
}

export interface Nodes {
  canRun(node: Node): boolean;
  /** Runs `work` now, or once the node is awake; never after it died. */
  whenAwake(node: Node, work: () => void): void;
  /** Carries out what was decided, a little after it was first asked to. */
  createPoke(node: () => Node, carryOut: () => void): () => void;
  /** Ticks for as long as the node runs. */
  tickEvery(node: Node, tick: () => void): void;
}

const TICK_MS = 25;

/** Between input and what is done about it. */
const LOOP_MS = 0.2;

export function createNodes(clock: SimulatedClock): Nodes {
  function canRun(node: Node): boolean {
    return node.isUp && clock.now() >= node.frozenUntil;
  }

  function whenAwake(node: Node, work: () => void): void {
    if (!node.isUp) return;
    const waitMs = node.frozenUntil - clock.now();
    if (waitMs <= 0) {
      work();
      return;
    }
    const { life } = node;
    clock.after(waitMs, () => {
      if (node.life === life) whenAwake(node, work);
    });
  }

  function createPoke(
    node: () => Node,
    carryOut: () => void,
  ): () => void {
    let isPoked = false;
    return () => {
      if (isPoked) return;
      isPoked = true;
      clock.after(LOOP_MS, () => {
        isPoked = false;
        whenAwake(node(), carryOut);
      });
    };
  }

  function tickEvery(
    node: Node,
    tick: () => void,
  ): void {
    clock.after(TICK_MS, () => {
      if (canRun(node)) tick();
      tickEvery(node, tick);
    });
  }

  return { canRun, whenAwake, createPoke, tickEvery };
}
