/** Settings of the command line: which fleet it speaks to. */
import { z } from "zod";
import { origin } from "./address.ts";
import { storeSection, type StoreSettings, token } from "./section.ts";

/** The operators' interfaces of the entries. */
export interface ManagementAccess {
  readonly endpoints: readonly string[];
  readonly token: string;
}

export interface OperatorSettings {
  readonly role: "operator";
  readonly store?: StoreSettings | undefined;
  readonly management?: ManagementAccess | undefined;
  /** Callers' interfaces of the entries, as HTTP origins. */
  readonly entries: readonly string[];
}

const managementAccess = z.strictObject({
  endpoints: z.array(origin()).min(1, "needs at least one endpoint"),
  token: token(),
});

export const operatorSchema = z.strictObject({
  role: z.literal("operator"),
  store: storeSection.optional(),
  management: managementAccess.optional(),
  entries: z.array(origin()).default([]),
}).transform((settings): OperatorSettings => settings);
