/**
 * Addresses of entries from their registrations in the store. Other programs may
 * write there too; a registration that is no address is logged once and ignored.
 */
import type { Log } from "@coltsfootreach/log";
import { isAddress } from "@coltsfootreach/run";
import type { VersionedValue } from "@coltsfootreach/store";

/** Maximum number of invalid registrations that are remembered as logged. */
const MAX_LOGGED = 100;

/** Maximum length of an invalid value in the log. */
const MAX_LOGGED_LENGTH = 60;

export interface EntryAddresses {
  /** Returns the valid addresses, sorted and without duplicates. */
  select(registrations: readonly VersionedValue[]): readonly string[];
}

export function createEntryAddresses(log: Log): EntryAddresses {
  const logged = new Set<string>();

  function logInvalid({ key, value, revision }: VersionedValue): void {
    const version = `${key} ${revision}`;
    if (logged.has(version) || logged.size >= MAX_LOGGED) return;
    logged.add(version);
    log.warn("registration of an entry is not an address; ignoring it", {
      entry: key,
      reason: value.slice(0, MAX_LOGGED_LENGTH),
    });
  }

  return {
    select(registrations) {
      const addresses = new Set<string>();
      for (const registration of registrations) {
        if (isAddress(registration.value)) addresses.add(registration.value);
        else logInvalid(registration);
      }
      return [...addresses].sort();
    },
  };
}
