import { describe, expect, it } from 'vitest';
import { ManualClock } from '../clock/index.js';
import { superviseTask } from './supervisedTask.js';

describe('a task that serves one of many', () => {
  it('runs again after a pause when it fails, until it completes', async () => {
    const clock = new ManualClock();
    const failures: unknown[] = [];
    let runs = 0;
    const run = async (): Promise<void> => {
      runs += 1;
      await clock.sleep(10);
      if (runs < 3) throw new Error(`failure ${runs}`);
    };
    const onFailure = (error: unknown): void => void failures.push(String(error));
    void superviseTask(run, { clock, signal: new AbortController().signal, onFailure });
    await clock.advance(900);
    expect(runs).toBe(1);
    await clock.advance(5_000);
    expect(runs).toBe(3);
    expect(failures).toEqual(['Error: failure 1', 'Error: failure 2']);
  });

  it('does not run again once its supervision has ended', async () => {
    const clock = new ManualClock();
    const stopped = new AbortController();
    let runs = 0;
    const run = (): Promise<void> => {
      runs += 1;
      return Promise.reject(new Error('failure'));
    };
    const ended = superviseTask(run, { clock, signal: stopped.signal, onFailure: () => undefined });
    await clock.advance(100);
    stopped.abort();
    await ended;
    expect(runs).toBe(1);
  });
});
