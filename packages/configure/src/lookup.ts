/** Looks up tenants and classes of the configuration in force by name. */
import type { RequestClass, Tenant } from "@coltsfootreach/types";
import type { ConfigurationHolder } from "./holder.ts";

export interface ConfigurationLookup {
  /** False while no configuration is in force. */
  isKnown(): boolean;
  /** Undefined for a tenant that is not in the configuration. */
  tenant(name: string): Tenant | undefined;
  requestClass(name: string): RequestClass | undefined;
}

export function createConfigurationLookup(
  holder: ConfigurationHolder,
): ConfigurationLookup {
  let version = 0;
  let tenants: ReadonlyMap<string, Tenant> = new Map();
  let classes: ReadonlyMap<string, RequestClass> = new Map();

  function refreshMaps(): void {
    if (holder.version() === version) return;
    const { estate } = holder.inForce()!;
    version = estate.version;
    tenants = new Map(estate.tenants.map((tenant) => [tenant.name, tenant]));
    classes = new Map(estate.classes.map((one) => [one.name, one]));
  }

  return {
    isKnown: () => holder.version() > 0,
    tenant(name) {
      refreshMaps();
      return tenants.get(name);
    },
    requestClass(name) {
      refreshMaps();
      return classes.get(name);
    },
  };
}
