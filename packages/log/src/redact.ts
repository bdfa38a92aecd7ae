/**
 * Keeps secrets out of logs. Values of keys that hold secrets are replaced,
 * and so is each known secret wherever it turns up inside a text.
 */

export const REDACTED = "[redacted]";

const SECRET_KEYS: ReadonlySet<string> = new Set([
  "authorization",
  "cookie",
  "key_file",
  "password",
  "privatekey",
  "secret",
  "token",
]);

/** Nesting below this is left out; log fields are meant to be flat. */
const DEEPEST = 6;

function isSecret(key: string): boolean {
  return SECRET_KEYS.has(key.toLowerCase());
}

export interface Redaction {
  /** The value with its secrets replaced; the argument stays as it is. */
  redact(value: unknown): unknown;
}

/** `secrets` are texts that must never be written, such as a token. */
export function createRedaction(secrets: readonly string[]): Redaction {
  const known = secrets.filter((secret) => secret !== "");

  function redactText(text: string): string {
    return known.reduce(
      (rest, secret) => rest.replaceAll(secret, REDACTED),
      text,
    );
  }

  function redactValue(value: unknown, depth: number): unknown {
    if (typeof value === "string") return redactText(value);
    if (typeof value === "bigint") return value.toString();
    if (value instanceof Error) return redactText(value.message);
    if (value === null || typeof value !== "object") return value;
    if (depth > DEEPEST) return "[nested]";
    if (Array.isArray(value)) {
      return value.map((item) => redactValue(item, depth + 1));
    }
    const fields = Object.entries(value).map(([key, item]) => [
      redactText(key),
      isSecret(key) ? REDACTED : redactValue(item, depth + 1),
    ]);
    return Object.fromEntries(fields);
  }

  return { redact: (value) => redactValue(value, 0) };
}
