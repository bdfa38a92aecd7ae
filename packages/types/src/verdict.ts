/**
 * The verdict states whether a request may have run. Every refusal, error and
 * task outcome carries one. A retry on another backend server is allowed only
 * after `notRun`.
 */

/**
 * - `notRun`: no backend server started the task, and none will.
 * - `ran`: a backend server started the task and answered.
 * - `mayHaveRun`: the task was sent to a backend server and its outcome is
 *   unknown.
 */
export type Verdict = "notRun" | "ran" | "mayHaveRun";
