/**
 * Marks answers that reach their caller after its deadline. A record knows when
 * its job ended; only the entry that holds the request knows when the answer
 * came back to it.
 */
import type { Reply } from "@coltsfootreach/types";
import type { Ask } from "./requests.ts";

/** The reply to a request that was received `spentMs` ago. */
export function markLate(reply: Reply, ask: Ask, spentMs: number): Reply {
  if (reply.kind !== "answered" || ask.kind !== "submit") return reply;
  if (spentMs <= ask.job.deadlineMs) return reply;
  return { kind: "answered", answer: { ...reply.answer, late: true } };
}
