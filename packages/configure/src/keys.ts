/**
 * Where configuration lives in the key-value service:
 *
 * - `configuration/head` is the version in force, changed by compare-and-swap
 *   only, and the one key that entries watch;
 * - `configuration/history/0000000042` is an earlier head, written before the
 *   head moves past it;
 * - `configuration/parts/TOKEN/3` is a piece of a long text, written before
 *   the head that refers to it.
 */

export interface ConfigurationKeys {
  readonly head: string;
  /** Prefix of all history keys. */
  readonly histories: string;
  history(version: number): string;
  part(token: string, position: number): string;
}

/** Wide enough that keys sort by version. */
const VERSION_DIGITS = 10;

export function createConfigurationKeys(
  prefix: string = "",
): ConfigurationKeys {
  const root = `${prefix}configuration/`;
  const histories = `${root}history/`;
  return {
    head: `${root}head`,
    histories,
    history: (version) =>
      `${histories}${String(version).padStart(VERSION_DIGITS, "0")}`,
    part: (token, position) => `${root}parts/${token}/${position}`,
  };
}
