/** What a task's body may ask of the stand-in backend server. */
import { z } from "zod";

const schema = z.object({
  sleepMs: z.number().nonnegative().default(0),
  echo: z.string().default(""),
  fail: z.boolean().default(false),
});

export type Work = Readonly<z.infer<typeof schema>>;

/** Any body that does not describe work is echoed at once. */
export function parseWork(body: string): Work {
  const echo = { sleepMs: 0, echo: body, fail: false };
  if (!body.startsWith("{")) {
    return echo;
  }
  try {
    return schema.safeParse(JSON.parse(body)).data ?? echo;
  } catch {
    return echo;
  }
}
