/** Compares bearer tokens without telling by time how much of one is right. */
import { createHash, timingSafeEqual } from "node:crypto";

const SCHEME = /^Bearer (.+)$/;

/** Answers whether an `Authorization` header carries the token. */
export function createTokenCheck(
  token: string,
): (header: string | undefined) => boolean {
  const expected = hash(token);
  return (header) => {
    const given = SCHEME.exec(header ?? "")?.[1] ?? "";
    return timingSafeEqual(hash(given), expected);
  };
}

/** Hashes have one length, which the comparison needs. */
function hash(text: string): Uint8Array {
  return createHash("sha256").update(text).digest();
}
