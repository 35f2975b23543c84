import type { Configuration } from '@jasmineroute/configuration';
import { ManualClock } from '@jasmineroute/core';
import { describe, expect, it } from 'vitest';
import { TargetMonitor } from '../target/index.js';
import { tokenFetchMs, isLinkBusy, linkWaitMs } from './storeLink.js';

const STORE = '10.0.0.9:80';
const engine = { slots: 48, cacheTokens: 100_000, tokenBytes: 200_000, models: [] };
const services = [
  { name: 's', engine },
  { name: 'kept', storeAddress: STORE, linkMbps: 400_000 },
];
const configuration: Configuration = { number: 1, routes: [], services, customers: [] };

describe("a store's link", () => {
  it('takes the time that follows from its speed, the memory of a token and the distance', () => {
    expect(tokenFetchMs(configuration, { name: 's', engine }, STORE)).toBeCloseTo(0.008, 6);
  });

  it('is busy with the fetches of this entry and others, and free once they are done', () => {
    // Fetches use nine tenths of the link at usual load. After an outage all waiting requests arrive at once, and 70
    // prompts fetch 3,780 tokens each over one link. If fetches counted as free, the queue would not shrink, and
    // every first token would come after 1.6 s for some seconds, at targets with little to do.
    const monitor = new TargetMonitor(new ManualClock());
    const isBusy = (): boolean => isLinkBusy(linkWaitMs(monitor.backlog, STORE, 0.008), 600);
    const open = Array.from({ length: 12 }, () =>
      monitor.startRequest('t1', 100, { store: STORE, tokens: 4_000 }),
    );
    expect(isBusy()).toBe(false);
    monitor.backlog.recordRemote('e2', [{ targetId: STORE, tokens: 32_000 }]);
    expect(isBusy()).toBe(true);
    open[0]?.markRead();
    open[1]?.finish();
    expect(isBusy()).toBe(false);
  });
});
