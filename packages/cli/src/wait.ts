/** Waits until a version is in force everywhere, and names who lags. */
import type { Laggard } from "@coltsfootreach/configure";
import type { StatusReport } from "@coltsfootreach/manage";
import type { Context } from "./context.ts";
import { askAll } from "./management.ts";
import { EXIT_FAILED, EXIT_OK, type Report } from "./report.ts";

const POLL_MS = 250;

interface Progress {
  readonly behind: readonly string[];
  readonly failures: readonly string[];
}

/** Adds the result of the wait to the report of an accepted change. */
export async function waitUntilInForce(
  context: Context,
  { applied, waitMs }: { readonly applied: Report; readonly waitMs: number },
): Promise<Report> {
  if (applied.exitCode !== EXIT_OK) return applied;
  const data = applied.data as { readonly version: number };
  const startedAtMs = context.now();
  for (;;) {
    const progress = await readProgress(context, data.version);
    const waitedMs = context.now() - startedAtMs;
    if (progress.behind.length + progress.failures.length === 0) {
      return finish(applied, progress);
    }
    if (waitedMs >= waitMs) {
      return finish(applied, progress);
    }
    await context.sleep(POLL_MS);
  }
}

/** Processes below the version, and entries that gave no answer. */
async function readProgress(
  context: Context,
  version: number,
): Promise<Progress> {
  const asked = await askAll<StatusReport>(context, "/status");
  if (asked.isErr()) return { behind: [], failures: [asked.error.message] };
  const { bodies, failures } = asked.value;
  const behind = bodies.flatMap((status) => [
    ...status.processes.filter((item) => item.version < version)
      .map(describeLag),
    ...status.configuration.version < version
      ? [describeLag({
        process: status.entry,
        version: status.configuration.version,
      })]
      : [],
  ]);
  return { behind: [...new Set(behind)], failures };
}

function describeLag(
  { process, version }: Pick<Laggard, "process" | "version">,
): string {
  return `${process} has version ${version}`;
}

function finish(applied: Report, progress: Progress): Report {
  const lag = [...progress.behind, ...progress.failures];
  const everywhere = lag.length === 0;
  const line = everywhere
    ? "in force everywhere"
    : `not in force everywhere: ${lag.join(", ")}`;
  return {
    text: `${applied.text}\n${line}`,
    data: { ...(applied.data as object), everywhere, ...progress },
    exitCode: everywhere ? EXIT_OK : EXIT_FAILED,
  };
}
