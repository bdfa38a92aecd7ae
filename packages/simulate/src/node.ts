/** Simulated processes that can be down or frozen. */
import type { SimulatedClock } from "./clock.ts";

export interface Node {
  isUp: boolean;
  frozenUntil: number;
  /** Increases each time the process is killed. */
  incarnation: number;
}

export interface Nodes {
  canRun(node: Node): boolean;
  /**
   * Runs `work` once the node is not frozen, unless the node is killed first. Work
   * of one node runs in the order in which it came.
   */
  runWhenUnfrozen(node: Node, work: () => void): void;
  /** Returns a function that applies pending effects after a short delay. */
  createEffectScheduler(node: () => Node, applyEffects: () => void): () => void;
  /** Calls `tick` periodically while the node is up and not frozen. */
  tickEvery(node: Node, tick: () => void): void;
}

interface DeferredWork {
  readonly incarnation: number;
  readonly work: () => void;
}

const TICK_INTERVAL_MS = 25;

/** Delay between an input and applying its effects. */
const EFFECT_DELAY_MS = 0.2;

export function createNodes(clock: SimulatedClock): Nodes {
  function canRun(node: Node): boolean {
    return node.isUp && clock.now() >= node.frozenUntil;
  }

  const deferred = new Map<Node, DeferredWork[]>();

  function runWhenUnfrozen(node: Node, work: () => void): void {
    if (!node.isUp) return;
    const queue = deferred.get(node);
    if (queue === undefined && clock.now() >= node.frozenUntil) {
      work();
      return;
    }
    const { incarnation } = node;
    if (queue !== undefined) {
      queue.push({ incarnation, work });
      return;
    }
    deferred.set(node, [{ incarnation, work }]);
    runDeferredLater(node);
  }

  function runDeferredLater(node: Node): void {
    clock.after(Math.max(0, node.frozenUntil - clock.now()), () => {
      if (clock.now() < node.frozenUntil) runDeferredLater(node);
      else runDeferred(node);
    });
  }

  function runDeferred(node: Node): void {
    const queue = deferred.get(node) ?? [];
    deferred.delete(node);
    for (const { incarnation, work } of queue) {
      if (node.incarnation === incarnation) work();
    }
  }

  function createEffectScheduler(
    node: () => Node,
    applyEffects: () => void,
  ): () => void {
    let isScheduled = false;
    return () => {
      if (isScheduled) return;
      isScheduled = true;
      clock.after(EFFECT_DELAY_MS, () => {
        isScheduled = false;
        runWhenUnfrozen(node(), applyEffects);
      });
    };
  }

  function tickEvery(
    node: Node,
    tick: () => void,
  ): void {
    clock.after(TICK_INTERVAL_MS, () => {
      if (canRun(node)) tick();
      tickEvery(node, tick);
    });
  }

  return {
    canRun,
    runWhenUnfrozen,
    createEffectScheduler,
    tickEvery,
  };
}
