import { systemClock } from '@jasmineroute/core';
import { controlMessage } from '@jasmineroute/protocol';
import { blockLoop, openConnections } from '@jasmineroute/testkit';
import { afterEach, describe, expect, it } from 'vitest';
import { RelayBed, answered, routeTo, until } from '../testing/bed.js';
import { ask } from '../testing/caller.js';
import type { Script } from '../testing/bed.js';

const { Announcement } = controlMessage;

/** One connection to each target for this entry. */
const ONE_CONNECTION = { services: [{ name: 's', maxConnections: 2 }] };

const CALLERS = 20;

/** Longer than what counts as a stall, milliseconds. */
const STALL_MS = 300;

const requestText = (id: number): string =>
  `POST /x HTTP/1.1\r\nhost: a.example\r\nt-id: w${id}\r\ncontent-length: 0\r\n\r\n`;

/** How long a request waits, milliseconds. */
const WAIT_MS = 800;

describe('a request that waits for a connection to its target', () => {
  let bed: RelayBed;
  let held: (() => void)[] = [];

  afterEach(async () => {
    for (const answer of held) answer();
    held = [];
    await bed.stop();
  });

  const hold: Script = (...exchange) => {
    held.push(() => {
      answered()(...exchange);
    });
  };

  /** Occupies the connection to each of two targets, and lets two more requests wait. @returns all answers. */
  async function occupy(kind: 'once' | 'idempotent') {
    bed = await RelayBed.start([routeTo({ kind, maxAttempts: 1 })], 2, ONE_CONNECTION);
    for (const target of bed.targets) target.script = hold;
    const asked = [ask(bed.url), ask(bed.url)];
    await until(() => bed.arrivalCount() === 2);
    asked.push(ask(bed.url), ask(bed.url));
    await until(() => bed.open === 4);
    return asked;
  }

  const leaveBy = (announcement: controlMessage.Announcement): void => {
    bed.announce({ t1: { announcement, sequence: 2n } });
  };

  // Guards against requests that reach a target which drains, and against requests that are refused although another is free.
  it.each([
    ['once', Announcement.DRAINING],
    ['idempotent', Announcement.DRAINING],
    ['once', Announcement.LEFT],
    ['once', Announcement.SILENT],
  ] as const)(
    'goes to another one when that leaves, without counting as an attempt: %s, %i',
    async (kind, way) => {
      const asked = await occupy(kind);
      leaveBy(way);
      await until(() => bed.attempts.some(({ outcome }) => outcome === 'target-leaving'));
      for (const target of bed.targets) target.script = answered();
      for (const answer of held.splice(0)) answer();
      expect((await Promise.all(asked)).map(({ status }) => status)).toEqual([200, 200, 200, 200]);
      expect(bed.target(1).requests).toHaveLength(1);
    },
  );

  // Guards against targets that work on requests whose callers have given up, as the wait for a connection was not counted.
  it('is sent with the time that is left when it is written', async () => {
    bed = await RelayBed.start([routeTo()], 1, ONE_CONNECTION);
    bed.target(1).script = hold;
    const headers = { 't-deadline': '3000' };
    const asked = [ask(bed.url, { headers })];
    await until(() => bed.arrivalCount() === 1);
    asked.push(ask(bed.url, { headers }));
    await until(() => bed.open === 2);
    await systemClock.sleep(WAIT_MS);
    for (const answer of held.splice(0)) answer();
    await until(() => bed.arrivalCount() === 2);
    const sent = bed.target(1).requests.map((request) => Number(request.headers['t-deadline']));
    expect(sent[0]).toBeGreaterThan(3_000 - WAIT_MS);
    expect(sent[1]).toBeLessThanOrEqual(3_000 - WAIT_MS);
    for (const answer of held.splice(0)) answer();
    await Promise.all(asked);
  });

  // Guards against requests of callers that left while the process stood still: their connection is free before that is read.
  it('is not written when its caller left during a stall', async () => {
    bed = await RelayBed.start([routeTo()], 1, ONE_CONNECTION);
    bed.target(1).script = hold;
    const first = ask(bed.url);
    await until(() => bed.arrivalCount() === 1);
    const callers = await openConnections(new URL(bed.url).host, CALLERS);
    for (const [id, caller] of callers.entries()) caller.write(requestText(id));
    await until(() => bed.open === 1 + CALLERS);
    for (const answer of held.splice(0)) answer();
    blockLoop(STALL_MS);
    for (const caller of callers) caller.destroy();
    await first;
    await until(() => bed.open === 0);
    expect(bed.arrivalCount()).toBe(1);
  });

  // Guards against a caller who waits until a connection frees to learn that nothing can serve it.
  it('is refused as not run at once when no other target is left', async () => {
    const asked = await occupy('once');
    const drain = { announcement: Announcement.DRAINING, sequence: 2n };
    bed.announce({ t1: drain, t2: drain });
    const refused = await Promise.all(asked.slice(2));
    expect(refused.map(({ status }) => status)).toEqual([503, 503]);
    for (const answer of held.splice(0)) answer();
    const answers = await Promise.all(asked.slice(0, 2));
    expect(answers.map(({ status }) => status)).toEqual([200, 200]);
  });
});
