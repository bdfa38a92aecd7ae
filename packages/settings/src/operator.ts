/** Settings of the command line: the fleet that it connects to. */
import { z } from "zod";
import { originSchema } from "./address.ts";
import { storeSchema, type StoreSettings, tokenSchema } from "./section.ts";

/** Access to the management interfaces of the entries. */
export interface ManagementClientSettings {
  readonly endpoints: readonly string[];
  readonly token: string;
}

export interface OperatorSettings {
  readonly role: "operator";
  readonly store?: StoreSettings | undefined;
  readonly management?: ManagementClientSettings | undefined;
  /** HTTP origins of the entries' interface for callers. */
  readonly entries: readonly string[];
}

const managementClientSchema = z.strictObject({
  endpoints: z.array(originSchema()).min(1, "must have at least one endpoint"),
  token: tokenSchema(),
});

export const operatorSchema = z.strictObject({
  role: z.literal("operator"),
  store: storeSchema.optional(),
  management: managementClientSchema.optional(),
  entries: z.array(originSchema()).default([]),
}).transform((settings): OperatorSettings => settings);
