/**
 * Counts how often each of the latest jobs was submitted to this entry, so that
 * the log tells a resubmission from a first submission.
 */

/** Maximum number of jobs whose count is kept. */
const MAX_JOBS = 2000;

export interface SubmissionCounter {
  /** Counts one submission; returns 1 for the first one of the job. */
  count(job: string): number;
}

export function createSubmissionCounter(): SubmissionCounter {
  const counts = new Map<string, number>();
  return {
    count(job) {
      const count = (counts.get(job) ?? 0) + 1;
      // Deleting first keeps the map ordered by last use.
      counts.delete(job);
      counts.set(job, count);
      if (counts.size > MAX_JOBS) counts.delete(counts.keys().next().value!);
      return count;
    },
  };
}
