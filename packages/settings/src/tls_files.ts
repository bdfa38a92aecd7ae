/** Checks that the files of a TLS section are readable and match each other. */
import { readFileSync } from "node:fs";
import { createSecureContext } from "node:tls";
import { err, ok, type Result } from "neverthrow";
import { InvalidFile } from "@coltsfootreach/errors";
import type { TlsSettings } from "./section.ts";

const FILE_KEYS = ["certificate", "key", "authority"] as const;

/** `file` is the settings file named in errors. */
export function validateTlsFiles(
  file: string,
  tls: TlsSettings,
): Result<void, InvalidFile> {
  for (const key of FILE_KEYS) {
    const errorMessage = catchErrorMessage(() => readFileSync(tls[key]));
    if (errorMessage === undefined) continue;
    const reason = `"${tls[key]}" cannot be read: ${errorMessage}`;
    return err(new InvalidFile(file, `tls.${key}`, reason));
  }
  const errorMessage = catchErrorMessage(() =>
    createSecureContext({
      cert: readFileSync(tls.certificate),
      key: readFileSync(tls.key),
      ca: readFileSync(tls.authority),
    })
  );
  if (errorMessage === undefined) return ok();
  const reason =
    `the certificate, key and authority cannot be used: ${errorMessage}`;
  return err(new InvalidFile(file, "tls", reason));
}

function catchErrorMessage(operation: () => unknown): string | undefined {
  try {
    operation();
    return undefined;
  } catch (error) {
    const text = error instanceof Error ? error.message : String(error);
    return text.split("\n")[0]!;
  }
}
