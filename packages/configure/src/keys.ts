/**
 * Where configuration lives in the key-value service:
 *
 * - `PREFIX/configuration` is the version in force, changed by
 *   compare-and-swap only;
 * - `PREFIX-archive/history/0000000042` is an earlier version, written before
 *   the head moves past it;
 * - `PREFIX-archive/parts/TOKEN/3` is a piece of a long text, written before
 *   the head that refers to it.
 *
 * The archive has a prefix of its own, so that the one watch that an entry
 * holds on the fleet's prefix reports the head and never the long texts.
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

/** `prefix` is that of the fleet's keys, such as "coltsfootreach/". */
export function createConfigurationKeys(prefix: string): ConfigurationKeys {
  const archive = `${prefix.replace(/\/$/, "")}-archive/`;
  const histories = `${archive}history/`;
  return {
    head: `${prefix}configuration`,
    histories,
    history: (version) =>
      `${histories}${String(version).padStart(VERSION_DIGITS, "0")}`,
    part: (token, position) => `${archive}parts/${token}/${position}`,
  };
}
