/** Scripted faults of the stand-in backend server. */
import { z } from "zod";

const script = z.strictObject({
  /** Divides the time that tasks take. */
  speed: z.number().positive(),
  /** Every task fails at once. */
  failEverything: z.boolean(),
  /** Whether the server announces itself; it says no goodbye. */
  announcing: z.boolean(),
});

/** A change of the script; what is left out stays as it was. */
export const backendFaultRequest = script.partial().extend({
  /** The connections open now are never answered again; new ones work. */
  silenceConnections: z.boolean().optional(),
});

export type BackendFaultRequest = Readonly<
  z.infer<typeof backendFaultRequest>
>;
