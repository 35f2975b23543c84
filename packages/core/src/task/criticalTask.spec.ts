import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { TaskError, runCriticalTask } from './criticalTask.js';

describe('a task that must run as long as its process', () => {
  const unhandled: unknown[] = [];
  const note = (reason: unknown): void => {
    unhandled.push(reason);
  };
  let others: NodeJS.UnhandledRejectionListener[] = [];

  beforeEach(() => {
    unhandled.length = 0;
    others = process.listeners('unhandledRejection');
    process.removeAllListeners('unhandledRejection');
    process.on('unhandledRejection', note);
  });

  afterEach(() => {
    process.removeAllListeners('unhandledRejection');
    for (const other of others) process.on('unhandledRejection', other);
  });

  // Guards against a process that continues without a task that it needs, because the daemon does not notice the failure.
  it('raises an unhandled TaskError when it fails', async () => {
    const cause = new Error('a bug');
    runCriticalTask('watch', Promise.reject(cause));
    await expect.poll(() => unhandled).toHaveLength(1);
    const [error] = unhandled;
    expect(error).toBeInstanceOf(TaskError);
    expect(error).toMatchObject({ task: 'watch', cause, message: 'the task "watch" failed: Error: a bug' });
  });

  it('raises nothing when it completes', async () => {
    runCriticalTask('watch', Promise.resolve());
    await new Promise((resolve) => setImmediate(resolve));
    expect(unhandled).toEqual([]);
  });
});
