/**
 * Says whether a request may have run. Every refusal, error and task outcome
 * carries one, and a retry on another backend server is allowed on `notRun`
 * only.
 */

/**
 * - `notRun`: no backend server started the task, and none will.
 * - `ran`: a backend server started the task and answered.
 * - `mayHaveRun`: the task was handed to a backend server and its fate is
 *   unknown.
 */
export type Verdict = "notRun" | "ran" | "mayHaveRun";
