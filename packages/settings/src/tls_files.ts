/** Checks that the files of a TLS section can be read and belong together. */
import { readFileSync } from "node:fs";
import { createSecureContext } from "node:tls";
import { err, ok, type Result } from "neverthrow";
import { InvalidFile } from "@coltsfootreach/errors";
import type { TlsSettings } from "./section.ts";

const KEYS = ["certificate", "key", "authority"] as const;

/** `file` names the settings in errors. */
export function checkTlsFiles(
  file: string,
  tls: TlsSettings,
): Result<void, InvalidFile> {
  for (const key of KEYS) {
    const fault = faultOf(() => readFileSync(tls[key]));
    if (fault === undefined) continue;
    const reason = `"${tls[key]}" cannot be read: ${fault}`;
    return err(new InvalidFile(file, `tls.${key}`, reason));
  }
  const fault = faultOf(() =>
    createSecureContext({
      cert: readFileSync(tls.certificate),
      key: readFileSync(tls.key),
      ca: readFileSync(tls.authority),
    })
  );
  if (fault === undefined) return ok();
  const reason = `the certificate, key and authority cannot be used: ${fault}`;
  return err(new InvalidFile(file, "tls", reason));
}

function faultOf(use: () => unknown): string | undefined {
  try {
    use();
    return undefined;
  } catch (error) {
    const text = error instanceof Error ? error.message : String(error);
    return text.split("\n")[0]!;
  }
}
