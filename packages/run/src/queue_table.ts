/** Queues available to callers in one version of the configuration. */

export interface Queue {
  readonly name: string;
  readonly hostname: string;
  /** Path prefix that selects the queue. */
  readonly prefix: string;
  /** Pool of backend servers that run the queue's tasks. */
  readonly service: string;
  /** 0 is the highest priority. */
  readonly priority: number;
  /** Maximum number of failed runs per task. */
  readonly attempts: number;
  /** A job's objective is its critical path length times this factor... */
  readonly slackFactor: number;
  /** ...plus this constant. */
  readonly extraMs: number;
  /** Backend servers accept its tasks only with a third-party permit. */
  readonly isPermitRequired: boolean;
}

export interface QueueTable {
  /** Increases with each change. */
  readonly version: number;
  readonly queues: readonly Queue[];
  readonly maxBodyBytes: number;
}

/** Returns the host's queue with the longest prefix that matches the path. */
export function findQueue(
  table: QueueTable,
  hostname: string,
  path: string,
): Queue | undefined {
  let best: Queue | undefined;
  for (const queue of table.queues) {
    if (queue.hostname !== hostname || !path.startsWith(queue.prefix)) continue;
    if (best === undefined || queue.prefix.length > best.prefix.length) {
      best = queue;
    }
  }
  return best;
}
