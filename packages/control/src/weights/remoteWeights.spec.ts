import { create } from '@bufbuild/protobuf';
import { ManualClock } from '@jasmineroute/core';
import { controlMessage } from '@jasmineroute/protocol';
import { expect, it } from 'vitest';
import { RecentReports } from '../recent/index.js';
import { isAttended } from './remoteWeights.js';

// Guards against a target that stays on old weights as its process reports loads, but can't get the right to order.
it('a target counts as attended only while the process beside it can order', async () => {
  const clock = new ManualClock();
  const loads = new RecentReports<controlMessage.TargetLoad>(clock);
  const report = (ordersBlocked: boolean): boolean => {
    const load = create(controlMessage.TargetLoadSchema, { targetId: 't1', ordersBlocked });
    loads.take('t1', load);
    return isAttended(loads, 't1', 3_000);
  };
  expect(isAttended(loads, 't1', 3_000)).toBe(false);
  expect([report(false), report(true), report(false)]).toEqual([true, false, true]);
  await clock.advance(3_000);
  expect(isAttended(loads, 't1', 3_000)).toBe(false);
});
