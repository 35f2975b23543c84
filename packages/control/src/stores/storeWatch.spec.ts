import { ManualClock, silentLog } from '@jasmineroute/core';
import { describe, expect, it } from 'vitest';
import { ConfigurationState } from '../configuration/index.js';
import { applyOne } from '../fixture/index.js';
import { createState } from '../role/index.js';
import { StoreWatch } from './storeWatch.js';

const STORE = '10.0.0.9:80';

const content = (storeAddress: string | undefined): Uint8Array =>
  Buffer.from(JSON.stringify({ number: 1, routes: [], services: [{ name: 'kept', storeAddress }] }));

describe('the watch of stores', () => {
  it('finds a store lost and back, and forgets one that is configured no more', async () => {
    // Symptom: every first token is some hundred ms late.
    // Sequence: the store of kept cache goes down; requests go on naming it as a source.
    // Cause: nobody looked whether it answers.
    const clock = new ManualClock();
    const state = createState();
    let answers = true;
    const port = {
      reach: () => clock.sleep(50).then(() => (answers ? undefined : Promise.reject(new Error('gone')))),
    };
    const watch = new StoreWatch(state.configuration, port, clock, silentLog);
    const configure = (number: bigint, address: string | undefined): void => {
      const value = { number, content: content(address), source: new Uint8Array(0) };
      applyOne(state.machine, { case: 'configure', value });
    };
    watch.start();
    configure(1n, STORE);
    await clock.advance(200);
    expect(watch.lost()).toEqual([]);
    answers = false;
    await clock.advance(1_000);
    expect(watch.lost()).toEqual([STORE]);
    answers = true;
    await clock.advance(1_000);
    expect(watch.lost()).toEqual([]);
    answers = false;
    await clock.advance(1_000);
    configure(2n, undefined);
    await clock.advance(1_000);
    expect(watch.lost()).toEqual([]);
    watch.stop();
    expect(state.configuration).toBeInstanceOf(ConfigurationState);
  });
});
