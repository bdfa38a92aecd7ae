/** Task queues, admission control, quotas and retry budgets. */
export * from "./queue.ts";
export * from "./tenant_queue.ts";
export type { JobOrder, ProspectiveJob } from "./job_ranks.ts";
export * from "./heap.ts";
export * from "./admission.ts";
export * from "./quota.ts";
export * from "./retry_budget.ts";
export * from "./usage.ts";
