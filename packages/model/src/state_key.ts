/**
 * A canonical key of a state of the modelled system. The cores are
 * deterministic, so what a process has taken in, and when, makes its state; two
 * traces with the same key have reached the same state.
 */
import { createHash } from "node:crypto";
import type { Harness } from "@coltsfootreach/scenario";

export function takeStateKey(harness: Harness): string {
  const state = JSON.stringify(harness.takeState());
  return createHash("sha1").update(state).digest("base64");
}
