/** Tasks whose failure must stop the process. */

/** The failure of a task that must run as long as its process. */
export class TaskError extends Error {
  override readonly name = 'TaskError';

  constructor(
    readonly task: string,
    cause: unknown,
  ) {
    super(`the task "${task}" failed: ${String(cause)}`, { cause });
  }
}

/**
 * Reports the failure of a task that must run as long as its process. Without the task the process would look healthy and do
 * only part of its work, so the error is left unhandled: the daemon stops on an unhandled `TaskError`.
 */
export function failCriticalTask(task: string, cause: unknown): void {
  void Promise.reject(new TaskError(task, cause));
}

/** Stops the process when a task that must run as long as the process fails. */
export function runCriticalTask(task: string, running: Promise<unknown>): void {
  running.catch((error: unknown) => {
    failCriticalTask(task, error);
  });
}
