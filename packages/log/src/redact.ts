/**
 * Redacts secrets from log output: values of sensitive keys are replaced, and
 * so is each occurrence of a known secret within a string.
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

/** Deeper nesting is omitted, since log fields are expected to be flat. */
const MAX_DEPTH = 6;

function isSecretKey(key: string): boolean {
  return SECRET_KEYS.has(key.toLowerCase());
}

export interface Redactor {
  /** Returns a copy of the value with all secrets replaced. */
  redact(value: unknown): unknown;
}

/** `secrets` are strings to redact wherever they occur, such as a token. */
export function createRedactor(secrets: readonly string[]): Redactor {
  const nonEmptySecrets = secrets.filter((secret) => secret !== "");

  function redactText(text: string): string {
    return nonEmptySecrets.reduce(
      (redacted, secret) => redacted.replaceAll(secret, REDACTED),
      text,
    );
  }

  function redactValue(value: unknown, depth: number): unknown {
    if (typeof value === "string") return redactText(value);
    if (typeof value === "bigint") return value.toString();
    if (value instanceof Error) return redactText(value.message);
    if (value === null || typeof value !== "object") return value;
    if (depth > MAX_DEPTH) return "[nested]";
    if (Array.isArray(value)) {
      return value.map((item) => redactValue(item, depth + 1));
    }
    const fields = Object.entries(value).map(([key, item]) => [
      redactText(key),
      isSecretKey(key) ? REDACTED : redactValue(item, depth + 1),
    ]);
    return Object.fromEntries(fields);
  }

  return { redact: (value) => redactValue(value, 0) };
}
