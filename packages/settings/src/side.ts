/** Settings of a side. */
import { z } from "zod";
import { type Address, listenAddress, remoteAddress } from "./address.ts";
import {
  logSection,
  type LogSettings,
  name,
  type Timeouts,
  timeoutsSection,
  tlsSection,
  type TlsSettings,
} from "./section.ts";

export interface SideSettings {
  readonly role: "side";
  readonly name: string;
  readonly dataCentre: string;
  readonly rack: string;
  readonly worker: string;
  /** Where the backend server on this VM announces itself. */
  readonly announcement: Address;
  /** Link addresses of the entries that the side asks first, as `IP:port`. */
  readonly entries: readonly string[];
  /** Starts that may wait for each slot of the backend server. */
  readonly queuePerSlot: number;
  readonly timeouts: Timeouts;
  readonly log: LogSettings;
  readonly tls?: TlsSettings | undefined;
}

const announcementSection = z.strictObject({ listen: listenAddress() });

export const sideSchema = z.strictObject({
  role: z.literal("side"),
  name: name(),
  data_centre: name(),
  rack: name(),
  worker: name(),
  announcement: announcementSection,
  entries: z.array(remoteAddress()).min(1, "needs at least one entry"),
  queue_per_slot: z.number().min(0).default(1),
  timeouts: timeoutsSection.prefault({}),
  log: logSection.prefault({}),
  tls: tlsSection.optional(),
}).transform((
  { data_centre, queue_per_slot, announcement, ...rest },
): SideSettings => ({
  ...rest,
  dataCentre: data_centre,
  announcement: announcement.listen,
  queuePerSlot: queue_per_slot,
}));
