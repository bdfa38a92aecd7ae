/** Serves the management API of an entry. */
import type { ConfigurationHolder } from "@coltsfootreach/configure";
import {
  assembleTenantTops,
  createEntryView,
  type Entry,
} from "@coltsfootreach/entry";
import {
  createManagementApp,
  type ManagementServer,
  serveManagement,
} from "@coltsfootreach/manage";
import type { Metrics } from "@coltsfootreach/measure";
import type { EntrySettings } from "@coltsfootreach/settings";

export interface OperatorServerDependencies {
  readonly entry: Entry;
  readonly holder: ConfigurationHolder;
  readonly metrics: Metrics;
}

/** Starts the API; returns undefined if the settings do not enable it. */
export async function serveOperators(
  { name, management }: EntrySettings,
  { entry, holder, metrics }: OperatorServerDependencies,
): Promise<ManagementServer | undefined> {
  if (management === undefined) return undefined;
  const view = createEntryView({
    name,
    incarnation: () => entry.incarnation(),
    core: () => entry.core(),
    holder,
    journal: entry.journal,
    store: () => entry.storeStatus(),
    newestVersion: () => entry.newestVersion(),
    tenants: () =>
      assembleTenantTops(metrics.classStats(), entry.core().records.open()),
  });
  const app = createManagementApp({ view, token: management.token });
  return await serveManagement(app, management.listen);
}
