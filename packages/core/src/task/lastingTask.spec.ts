import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { TaskError, runLasting } from './lastingTask.js';

describe('a task that lasts as long as its process', () => {
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

  // A process goes on without a task that it needs, and nothing tells the daemon.
  it('tells the process when it fails', async () => {
    const cause = new Error('a bug');
    runLasting('watch', Promise.reject(cause));
    await expect.poll(() => unhandled).toHaveLength(1);
    const [error] = unhandled;
    expect(error).toBeInstanceOf(TaskError);
    expect(error).toMatchObject({ task: 'watch', cause, message: 'the task "watch" failed: Error: a bug' });
  });

  it('tells nothing when it ends', async () => {
    runLasting('watch', Promise.resolve());
    await new Promise((resolve) => setImmediate(resolve));
    expect(unhandled).toEqual([]);
  });
});
