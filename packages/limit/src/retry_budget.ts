/**
 * Retry budgets: limit retries to a share of first starts, per tenant and in
 * total, so that retries do not amplify load during widespread failures.
 */

export interface RetryBudget {
  /** Records the first start of a task. */
  start(tenant: string): void;
  /** Takes one token from the tenant's and the shared budget if both have one. */
  tryRetry(tenant: string): boolean;
}

export interface RetryBudgetOptions {
  /** Share of started tasks that may be retried, from 0 to 1. */
  readonly share: () => number;
}

/** Capacity and initial number of retry tokens of a tenant. */
const MAX_TOKENS_PER_TENANT = 20;

/** Capacity and initial number of retry tokens shared by all tenants. */
const MAX_SHARED_TOKENS = 200;

/** Maximum number of tracked tenants; the oldest is removed first. */
const MAX_TENANTS = 10_000;

export function createRetryBudget(options: RetryBudgetOptions): RetryBudget {
  const tokensByTenant = new Map<string, number>();
  let sharedTokens = MAX_SHARED_TOKENS;

  function tokensOf(tenant: string): number {
    return tokensByTenant.get(tenant) ?? MAX_TOKENS_PER_TENANT;
  }

  function setTokens(tenant: string, tokens: number): void {
    tokensByTenant.set(tenant, Math.min(MAX_TOKENS_PER_TENANT, tokens));
    if (tokensByTenant.size <= MAX_TENANTS) return;
    const oldest = tokensByTenant.keys().next().value;
    if (oldest !== undefined) tokensByTenant.delete(oldest);
  }

  return {
    start(tenant) {
      const tokensPerStart = options.share();
      sharedTokens = Math.min(MAX_SHARED_TOKENS, sharedTokens + tokensPerStart);
      setTokens(tenant, tokensOf(tenant) + tokensPerStart);
    },

    tryRetry(tenant) {
      const tenantTokens = tokensOf(tenant);
      if (options.share() <= 0 || tenantTokens < 1 || sharedTokens < 1) {
        return false;
      }
      sharedTokens -= 1;
      setTokens(tenant, tenantTokens - 1);
      return true;
    },
  };
}
