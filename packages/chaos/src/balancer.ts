/** The platform's balancer: sends callers to entries that say they are ready. */
import type { Random } from "@coltsfootreach/place";
import { Agent, request } from "undici";

const POLL_MS = 200;

const POLL_TIMEOUT_MS = 500;

export interface Balancer {
  /** An entry that is ready, not the given one if there is another. */
  choose(except?: string): string | undefined;
  /** Times at which an entry became ready or stopped to be. */
  close(): void;
}

export interface BalancerOptions {
  readonly origins: readonly string[];
  readonly random: Random;
}

export function createBalancer(options: BalancerOptions): Balancer {
  const ready = new Set(options.origins);
  const agent = new Agent();
  const busy = new Set<string>();

  async function poll(origin: string): Promise<void> {
    if (busy.has(origin)) return;
    busy.add(origin);
    if (await isReady(origin)) ready.add(origin);
    else ready.delete(origin);
    busy.delete(origin);
  }

  async function isReady(origin: string): Promise<boolean> {
    try {
      const answer = await request(`${origin}/readyz`, {
        dispatcher: agent,
        signal: AbortSignal.timeout(POLL_TIMEOUT_MS),
      });
      await answer.body.dump();
      return answer.statusCode === 200;
    } catch {
      return false;
    }
  }

  const timer = setInterval(
    () => options.origins.forEach((origin) => void poll(origin)),
    POLL_MS,
  );

  return {
    choose(except) {
      const choices = [...ready].filter((origin) => origin !== except);
      if (choices.length === 0) choices.push(...ready);
      return choices[Math.floor(options.random() * choices.length)];
    },
    close() {
      clearInterval(timer);
      void agent.destroy();
    },
  };
}
