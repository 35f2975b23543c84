import { create } from '@bufbuild/protobuf';
import { ManualClock, silentLog } from '@jasmineroute/core';
import { ClusterView } from '@jasmineroute/knowledge';
import { controlMessage } from '@jasmineroute/protocol';
import { beforeEach, describe, expect, it } from 'vitest';
import { STARTUP_GRACE_MS, StartupGrace } from './startupGrace.js';

/** Truncates timer delays to whole milliseconds, as Node's timers do. */
class WholeMillisecondClock extends ManualClock {
  override after(ms: number, action: () => void): () => void {
    return super.after(Math.floor(ms), action);
  }
}

describe('an entry that has just started', () => {
  let clock: ManualClock;
  let knowledge: ClusterView;
  let grace: StartupGrace;
  let caller: AbortController;

  beforeEach(() => {
    clock = new ManualClock();
    knowledge = new ClusterView(clock, silentLog);
    grace = new StartupGrace(knowledge, clock);
    caller = new AbortController();
  });

  const isReady = (): boolean => knowledge.targets.ready('s').length > 0;

  const announce = (): void => {
    const { READY } = controlMessage.Announcement;
    const target = create(controlMessage.AnnouncedTargetSchema, {
      id: 't1',
      service: 's',
      announcement: READY,
    });
    knowledge.apply('c1', create(controlMessage.FollowEventSchema, { targets: [target] }), false);
  };

  it('holds a request until a target is known', async () => {
    // After a loss of all instances, callers return to entries that listen before they know a target, with one retry
    // left. Refusing them at once would turn away a fifth of the callers with a timeout of two seconds for good.
    let isKnown: boolean | undefined;
    const waited = grace.until(isReady, caller.signal).then((known) => (isKnown = known));
    await clock.advance(500);
    expect(isKnown).toBeUndefined();
    announce();
    expect(await waited).toBe(true);
  });

  it('stops waiting at the end of the grace period, and does not wait after it', async () => {
    const waited = grace.until(isReady, caller.signal);
    await clock.advance(STARTUP_GRACE_MS);
    expect(await waited).toBe(false);
    expect(await grace.until(isReady, caller.signal)).toBe(false);
  });

  it('stops waiting at the end of the grace period when its timer fires early', async () => {
    // Timers count whole milliseconds, so a timer of 1958.4 ms fires after 1958 ms. If its callback checked the clock
    // again, it would find that the time is not over, and without another timer the request would never be answered,
    // and a planned stop would wait for it in vain.
    clock = new WholeMillisecondClock();
    grace = new StartupGrace(knowledge, clock);
    await clock.advance(41.6);
    let isKnown: boolean | undefined;
    void grace.until(isReady, caller.signal).then((known) => (isKnown = known));
    await clock.advance(STARTUP_GRACE_MS);
    expect(isKnown).toBe(false);
  });

  it('stops waiting when the caller leaves', async () => {
    const waited = grace.until(isReady, caller.signal);
    caller.abort();
    expect(await waited).toBe(false);
  });
});
