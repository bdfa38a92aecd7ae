/** Queues, quotas, refusals and retry budgets. */
export * from "./queue.ts";
export * from "./tenant_queue.ts";
export * from "./heap.ts";
