/** Seeded pseudorandom number generator. */

export interface Random {
  /** Returns a number from 0 inclusive to 1 exclusive. */
  next(): number;
  /** Returns an integer from 0 inclusive to `count` exclusive. */
  integerBelow(count: number): number;
  /** Returns true with the given probability. */
  chance(share: number): boolean;
  /** Returns a factor from `e ** -spread` to `e ** spread`, log-uniform. */
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
    integerBelow: (count) => Math.floor(next() * count),
    chance: (share) => next() < share,
    factor: (spread) => Math.exp((next() * 2 - 1) * spread),
  };
}
