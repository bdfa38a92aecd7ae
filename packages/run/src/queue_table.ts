/** The queues that callers may use, as one version of the configuration. */

export interface Queue {
  readonly name: string;
  readonly hostname: string;
  /** Start of the paths that belong to the queue. */
  readonly prefix: string;
  /** Pool of backend servers that run its tasks. */
  readonly service: string;
  /** 0 comes first. */
  readonly priority: number;
  /** Runs of one task that may end in failure. */
  readonly attempts: number;
  /** Objective of a job: this many times its longest chain of run times... */
  readonly slackFactor: number;
  /** ...and this much more. */
  readonly extraMs: number;
  /** Backend servers take its tasks only with a permit from a third party. */
  readonly needsAdvice: boolean;
}

export interface QueueTable {
  /** Rises with each change. */
  readonly version: number;
  readonly queues: readonly Queue[];
  readonly maxBodyBytes: number;
}

/** The queue with this host name and the longest prefix of the path. */
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
