/** One submission of a job over HTTP, and what its caller learns of it. */
import { type Agent, request } from "node:http";

export type SubmissionOutcome =
  | {
    readonly kind: "response";
    readonly status: number;
    readonly text: string;
  }
  /** The connection broke. */
  | { readonly kind: "lost"; readonly reason: string }
  | { readonly kind: "timeout" };

export interface HttpSubmissionOptions {
  /** Address of an entry, as `IP:port`. */
  readonly address: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: string;
  readonly agent: Agent;
  /** After this time the caller closes its connection. */
  readonly timeoutMs: number;
  /** Called once, unless the submission is cancelled first. */
  settled(outcome: SubmissionOutcome): void;
}

/** Sends the submission; returns a function that cancels it. */
export function sendSubmission(options: HttpSubmissionOptions): () => void {
  const { address, path, headers, agent, body } = options;
  const [host, port] = address.split(":");
  const method = "POST";
  const outgoing = request({ host, port, path, method, agent, headers });
  let isSettled = false;

  function settle(outcome?: SubmissionOutcome): void {
    if (isSettled) return;
    isSettled = true;
    clearTimeout(timer);
    if (outcome !== undefined) options.settled(outcome);
  }

  function close(outcome?: SubmissionOutcome): void {
    settle(outcome);
    outgoing.destroy();
  }

  const timer = setTimeout(() => close({ kind: "timeout" }), options.timeoutMs);
  outgoing.on("error", ({ message }) => {
    settle({ kind: "lost", reason: message });
  });
  outgoing.on("response", async (response) => {
    let text = "";
    try {
      for await (const chunk of response) text += chunk;
    } catch {
      // A connection lost mid-response emits no "error" on the request.
      settle({ kind: "lost", reason: "cut midway" });
      return;
    }
    settle({ kind: "response", status: response.statusCode ?? 0, text });
  });
  outgoing.end(body);
  return () => close();
}
