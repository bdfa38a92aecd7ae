/** Faults of the stand-ins, as their controls take them. */

export type BackendFault =
  | { readonly speed: number }
  | { readonly failEverything: boolean }
  | { readonly announcing: boolean };

export type StoreFault =
  | { readonly outage: "refusing" | "unavailable" }
  | { readonly slowMs: number }
  | { readonly lostAnswers: number }
  | { readonly silentWatches: true }
  | { readonly lapseLeases: true }
  | { readonly compact: true };

/** Ends every fault of a backend server; `speed` is its usual one. */
export function noBackendFault(speed: number) {
  return { speed, failEverything: false, announcing: true } as const;
}

/** Ends every fault of the key-value service. */
export const NO_STORE_FAULT = {
  outage: "none",
  slowMs: 0,
  lostAnswers: 0,
  silentWatches: false,
} as const;
