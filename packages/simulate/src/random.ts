/** Numbers that a seed determines. */

export interface Random {
  /** From 0 to 1. */
  next(): number;
  /** A whole number from 0 to below `count`. */
  below(count: number): number;
  chance(share: number): boolean;
  /** Around 1, spread over a factor in both directions. */
  factor(spread: number): number;
}

export function createRandom(seed: number): Random {
  let state = (seed * 2654435761 + 97) >>> 0;

  function next(): number {
    state = (state + 0x6d2b79f5) >>> 0;
    let mixed = Math.imul(state ^ (state >>> 15), 1 | state);
    mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), 61 | mixed);
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 2 ** 32;
  }

  return {
    next,
    below: (count) => Math.floor(next() * count),
    chance: (share) => next() < share,
    factor: (spread) => Math.exp((next() * 2 - 1) * spread),
  };
}
