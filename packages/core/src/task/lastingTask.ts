/** Tasks without which a process must not go on. */

/** An error that ended a task which has to last as long as its process. */
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
 * Tells that a task has failed that lasts as long as its process. The process would look well and do only a part of its work,
 * so the error is left unhandled: the daemon stops on an unhandled `TaskError`.
 */
export function failTask(task: string, cause: unknown): void {
  void Promise.reject(new TaskError(task, cause));
}

/** Keeps watch over a task that lasts as long as its process. */
export function runLasting(task: string, running: Promise<unknown>): void {
  running.catch((error: unknown) => {
    failTask(task, error);
  });
}
