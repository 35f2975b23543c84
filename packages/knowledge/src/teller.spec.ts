import { ManualClock } from '@jasmineroute/core';
import type { Log } from '@jasmineroute/core';
import type { Peers } from '@jasmineroute/protocol';
import { describe, expect, it } from 'vitest';
import { Teller } from './teller.js';

describe('telling one control instance', () => {
  const clock = new ManualClock();
  const events: number[] = [];
  const log = {
    event: ({ id }: { id: number }) => {
      events.push(id);
    },
  } as unknown as Log;
  const teller = new Teller({
    controls: () => ['a', 'b', 'c'],
    peers: { transport: () => ({}) } as unknown as Peers,
    clock,
    log,
  });
  const down = new Set<string>();
  const tried: string[] = [];
  const tell = (preferred?: string): Promise<string | undefined> => {
    tried.length = 0;
    return teller.tell((_client, _options, address) => {
      tried.push(address);
      return down.has(address) ? Promise.reject(new Error('down')) : Promise.resolve();
    }, preferred);
  };

  it('takes the preferred one, passes over one that did not answer, and logs its loss and return once', async () => {
    // Symptom: some hundred log lines a second, and each report late by the time-out of a control instance.
    // Sequence: one control instance is down for seconds; all that is told tries it first.
    // Cause: nothing remembered that it did not answer.
    expect(await tell('b')).toBe('b');
    expect(tried).toEqual(['b']);
    down.add('a');
    expect(await tell()).toBe('b');
    expect(await tell()).toBe('b');
    expect(tried).toEqual(['b']);
    expect(events).toEqual([8112]);
    await clock.advance(2_000);
    expect(await tell()).toBe('b');
    expect(tried).toEqual(['a', 'b']);
    expect(events).toEqual([8112]);
    down.clear();
    await clock.advance(2_000);
    expect(await tell()).toBe('a');
    expect(events).toEqual([8112, 8113]);
    for (const one of ['a', 'b', 'c']) down.add(one);
    expect(await tell()).toBeUndefined();
  });
});
