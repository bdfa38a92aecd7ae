/** Runs a side from its settings. */
import { createLog } from "@coltsfootreach/log";
import type { SideSettings } from "@coltsfootreach/settings";
import { startSide } from "@coltsfootreach/side";
import { readCredentials } from "./credentials.ts";
import { stopOnSignal } from "./signals.ts";

/** How long evidence of starts is kept; beyond any resubmission window. */
const KEEP_EVIDENCE_MS = 15 * 60_000;

/** How long results of ended jobs are kept for an entry that takes over. */
const KEEP_RESULTS_MS = 60_000;

/** Most jobs with evidence on one side. */
const MAX_JOBS = 200_000;

export async function runSide(settings: SideSettings): Promise<void> {
  const { timeouts } = settings;
  const log = createLog({
    role: "side",
    name: settings.name,
    incarnation: "",
    level: settings.log.level,
  });
  const side = await startSide({
    name: settings.name,
    dataCentre: settings.dataCentre,
    rack: settings.rack,
    worker: settings.worker,
    announcement: settings.announcement,
    entries: settings.entries,
    queuePerSlot: settings.queuePerSlot,
    freshnessMs: timeouts.freshnessMs,
    heartbeatMs: timeouts.heartbeatMs,
    silentMs: timeouts.sideLostMs,
    drainMs: timeouts.drainMs,
    keepEvidenceMs: KEEP_EVIDENCE_MS,
    keepResultsMs: KEEP_RESULTS_MS,
    maxJobs: MAX_JOBS,
    credentials: readCredentials(settings.tls)?.client,
    log,
  });
  stopOnSignal(() => side.stop());
}
