/** Queues, quotas, refusals and retry budgets. */
export * from "./queue.ts";
