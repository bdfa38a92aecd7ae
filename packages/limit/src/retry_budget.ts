/**
 * Bounds retries to a share of the starts, per tenant and for the whole, so
 * that retries cannot multiply load when much goes wrong at once.
 */

export interface RetryBudget {
  /** A task of the tenant was started for the first time. */
  start(tenant: string): void;
  /** Takes one retry from the budgets if both allow it. */
  tryRetry(tenant: string): boolean;
}

export interface RetryBudgetOptions {
  /** Share of started tasks that may be retried, 0 to 1. */
  readonly share: () => number;
}

/** Retries that a tenant may save up, and has at first. */
const MAX_SAVED_PER_TENANT = 20;

/** Retries that all tenants together may save up, and have at first. */
const MAX_SAVED = 200;

/** Tenants whose budgets are kept; the oldest is dropped first. */
const MAX_TENANTS = 10_000;

export function createRetryBudget(options: RetryBudgetOptions): RetryBudget {
  const saved = new Map<string, number>();
  let savedByAll = MAX_SAVED;

  function savedOf(tenant: string): number {
    return saved.get(tenant) ?? MAX_SAVED_PER_TENANT;
  }

  function save(tenant: string, amount: number): void {
    saved.set(tenant, Math.min(MAX_SAVED_PER_TENANT, amount));
    if (saved.size <= MAX_TENANTS) return;
    const oldest = saved.keys().next().value;
    if (oldest !== undefined) saved.delete(oldest);
  }

  return {
    start(tenant) {
      const gain = options.share();
      savedByAll = Math.min(MAX_SAVED, savedByAll + gain);
      save(tenant, savedOf(tenant) + gain);
    },

    tryRetry(tenant) {
      const own = savedOf(tenant);
      if (options.share() <= 0 || own < 1 || savedByAll < 1) return false;
      savedByAll -= 1;
      save(tenant, own - 1);
      return true;
    },
  };
}
