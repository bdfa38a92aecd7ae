/**
 * Keys of the configuration in the key-value service:
 *
 * - `PREFIX/configuration` is the version in force, changed by
 *   compare-and-swap only;
 * - `PREFIX-archive/history/0000000042` is an earlier version, written before
 *   the head is replaced;
 * - `PREFIX-archive/parts/TOKEN/3` is a part of a long text, written before
 *   the head that refers to it.
 *
 * The archive has a separate prefix, so that an entry's single watch on the
 * fleet's prefix reports the head but never the long texts.
 */

export interface ConfigurationKeys {
  readonly head: string;
  /** Prefix of all history keys. */
  readonly histories: string;
  history(version: number): string;
  part(token: string, position: number): string;
}

/** Zero-padded to this width, so that keys sort by version. */
const VERSION_DIGITS = 10;

/** `prefix` is the prefix of the fleet's keys, such as "coltsfootreach/". */
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
