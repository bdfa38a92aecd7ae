/** Settings of a side. */
import { z } from "zod";
import {
  type Address,
  listenAddressSchema,
  remoteAddressSchema,
} from "./address.ts";
import {
  logSchema,
  type LogSettings,
  nameSchema,
  type Timeouts,
  timeoutsSchema,
  tlsSchema,
  type TlsSettings,
} from "./section.ts";

export interface SideSettings {
  readonly role: "side";
  readonly name: string;
  readonly dataCentre: string;
  readonly rack: string;
  readonly worker: string;
  /** Listen address for announcements of the backend server on this VM. */
  readonly announcement: Address;
  /** Link addresses of the entries contacted first, as `IP:port`. */
  readonly entries: readonly string[];
  /** Maximum number of queued starts per slot of the backend server. */
  readonly queuePerSlot: number;
  readonly timeouts: Timeouts;
  readonly log: LogSettings;
  readonly tls?: TlsSettings | undefined;
}

const announcementSchema = z.strictObject({ listen: listenAddressSchema() });

export const sideSchema = z.strictObject({
  role: z.literal("side"),
  name: nameSchema(),
  data_centre: nameSchema(),
  rack: nameSchema(),
  worker: nameSchema(),
  announcement: announcementSchema,
  entries: z.array(remoteAddressSchema()).min(
    1,
    "must have at least one entry",
  ),
  queue_per_slot: z.number().min(0).default(1),
  timeouts: timeoutsSchema.prefault({}),
  log: logSchema.prefault({}),
  tls: tlsSchema.optional(),
}).transform((
  { data_centre, queue_per_slot, announcement, ...rest },
): SideSettings => ({
  ...rest,
  dataCentre: data_centre,
  announcement: announcement.listen,
  queuePerSlot: queue_per_slot,
}));
