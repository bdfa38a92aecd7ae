/** Seeded random numbers and the distributions that the workload needs. */
import type { Random } from "@coltsfootreach/place";

/** The generator mulberry32: 32 bits of state, uniform in [0, 1). */
export function createRandom(seed: number): Random {
  let state = seed >>> 0;
  return () => {
    state = (state + 0x6d2b79f5) >>> 0;
    let mixed = Math.imul(state ^ (state >>> 15), 1 | state);
    mixed = (mixed + Math.imul(mixed ^ (mixed >>> 7), 61 | mixed)) ^ mixed;
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 4_294_967_296;
  };
}

export function exponential(random: Random, mean: number): number {
  return -mean * Math.log(1 - random());
}

/** A standard normal number by the Box-Muller transform. */
export function normal(random: Random): number {
  const radius = Math.sqrt(-2 * Math.log(1 - random()));
  return radius * Math.cos(2 * Math.PI * random());
}

export function logNormal(
  random: Random,
  median: number,
  spread: number,
): number {
  return median * Math.exp(spread * normal(random));
}

/** A whole number from 1 to `most`, where P(n >= k) falls as k^-exponent. */
export function powerLaw(
  random: Random,
  exponent: number,
  most: number,
): number {
  const uniform = 1 - random();
  const least = (most + 1) ** -exponent;
  const scaled = least + uniform * (1 - least);
  return Math.min(most, Math.floor(scaled ** (-1 / exponent)));
}
