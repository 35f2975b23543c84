import { create } from '@bufbuild/protobuf';
import { ManualClock, silentLog } from '@jasmineroute/core';
import { Knowledge } from '@jasmineroute/knowledge';
import { controlMessage } from '@jasmineroute/protocol';
import { beforeEach, describe, expect, it } from 'vitest';
import { LEARN_MS, Learning } from './learning.js';

describe('an entry that has just started', () => {
  let clock: ManualClock;
  let knowledge: Knowledge;
  let learning: Learning;
  let ended: AbortController;

  beforeEach(() => {
    clock = new ManualClock();
    knowledge = new Knowledge(clock, silentLog);
    learning = new Learning(knowledge, clock);
    ended = new AbortController();
  });

  const isReady = (): boolean => knowledge.targets.ready('s').length > 0;

  const hear = (): void => {
    const { READY } = controlMessage.Announcement;
    const target = create(controlMessage.AnnouncedTargetSchema, {
      id: 't1',
      service: 's',
      announcement: READY,
    });
    knowledge.apply('c1', create(controlMessage.FollowEventSchema, { targets: [target] }), false);
  };

  it('lets a request wait until a target is known', async () => {
    // Symptom: after a loss of all instances a fifth of the callers of two seconds is refused for good.
    // Sequence: entries listen before they know a target; callers come back to them, and have one retry each.
    // Cause: what was not known yet was refused like what is not there.
    let isKnown: boolean | undefined;
    const waited = learning.until(isReady, ended.signal).then((known) => (isKnown = known));
    await clock.advance(500);
    expect(isKnown).toBeUndefined();
    hear();
    expect(await waited).toBe(true);
  });

  it('refuses once the time to learn is over, and at once from then on', async () => {
    const waited = learning.until(isReady, ended.signal);
    await clock.advance(LEARN_MS);
    expect(await waited).toBe(false);
    expect(await learning.until(isReady, ended.signal)).toBe(false);
  });

  it('keeps nobody waiting who has left', async () => {
    const waited = learning.until(isReady, ended.signal);
    ended.abort();
    expect(await waited).toBe(false);
  });
});
