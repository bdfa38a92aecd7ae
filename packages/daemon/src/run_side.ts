/** Starts a side process with its settings. */
import { createLog } from "@coltsfootreach/log";
import type { SideSettings } from "@coltsfootreach/settings";
import { startSide } from "@coltsfootreach/side";
import { readCredentials } from "./credentials.ts";
import { setShutdownHandler } from "./signals.ts";

/** Retention of evidence of starts; longer than any resubmission window. */
const EVIDENCE_RETENTION_MS = 15 * 60_000;

/** Retention of results of ended jobs for an entry that takes over. */
const RESULT_RETENTION_MS = 60_000;

/** Maximum number of jobs with evidence on one side. */
const MAX_JOBS_WITH_EVIDENCE = 200_000;

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
    keepEvidenceMs: EVIDENCE_RETENTION_MS,
    keepResultsMs: RESULT_RETENTION_MS,
    maxJobs: MAX_JOBS_WITH_EVIDENCE,
    credentials: readCredentials(settings.tls)?.client,
    log,
  });
  setShutdownHandler(() => side.stop());
}
