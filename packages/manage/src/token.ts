/** Compares bearer tokens in constant time to prevent timing attacks. */
import { createHash, timingSafeEqual } from "node:crypto";

const BEARER_HEADER = /^Bearer (.+)$/;

/** Creates a check whether an `Authorization` header contains the token. */
export function createTokenVerifier(
  token: string,
): (header: string | undefined) => boolean {
  const expected = sha256(token);
  return (header) => {
    const presentedToken = BEARER_HEADER.exec(header ?? "")?.[1] ?? "";
    return timingSafeEqual(sha256(presentedToken), expected);
  };
}

/** Gives inputs of equal length, which `timingSafeEqual` requires. */
function sha256(text: string): Uint8Array {
  return createHash("sha256").update(text).digest();
}
