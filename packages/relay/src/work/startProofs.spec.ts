/** Streams at targets that start again under their ids, with other software, before their entry hears of it. */
import { afterEach, describe, expect, it } from 'vitest';
import { relayEvents } from '../events.js';
import { RelayBed, routeTo, until } from '../testing/bed.js';
import { ask, events, stream, text } from '../testing/caller.js';
import type { Answer } from '../testing/caller.js';

const BORN = 7n;

/** Longest time for which two targets may work on one stream, milliseconds. */
const MAX_BOTH_MS = 400;

describe('a target that may have started again under its id', () => {
  let bed: RelayBed;

  afterEach(async () => {
    await bed.stop();
  });

  /** All targets with their starts. */
  const announced = (): Parameters<RelayBed['announce']>[0] =>
    Object.fromEntries(bed.targets.map(({ id }) => [id, { id: `${id}/${BORN}`, name: id, born: BORN }]));

  /** Targets of one version that tell when they were started; control has heard of all but the first just before. */
  async function start(targets: number): Promise<void> {
    bed = await RelayBed.startUnannounced([routeTo(stream)], targets);
    bed.announce(announced());
    for (const { id } of bed.targets) bed.hearStart(id, BORN);
    for (const target of bed.targets) {
      target.script = (request, response, body) => {
        const after = String(request.headers['t-after']);
        events(after === '' ? 0 : Number(after) + 1, 5, (written) => written.end())(request, response, body);
      };
    }
    await until(() => bed.knowsTarget(`t1/${BORN}`));
  }

  const resume = (id: string): Promise<Answer> =>
    ask(bed.url, { id, headers: { 't-resumes': 'old', 't-last': '2' } });

  // Guards against events of another software version than the one that the entry knows of the target.
  it('gets no stream that goes on, when control knows the new start', async () => {
    await start(1);
    bed.knowStream('old', 'v1');
    bed.hearStart('t1', BORN + 1n);
    const answer = await resume('q2');
    expect(answer).not.toMatchObject({ status: 200 });
    expect(answer.body).not.toContain('data');
    expect(bed.arrivalCount()).toBe(1);
  });

  // Guards against the same while nobody has heard of the new start.
  it('gets no stream that goes on, when nothing was heard of it since the connection was opened', async () => {
    await start(1);
    bed.knowStream('old', 'v1');
    const answer = await resume('q2');
    expect(answer).not.toMatchObject({ status: 200 });
    expect(answer.body).not.toContain('data');
  });

  // Guards against streams that are broken off although their target serves on.
  it('gets a stream that goes on once it was heard of again', async () => {
    await start(1);
    bed.knowStream('old', 'v1');
    const answer = resume('q2');
    await until(() => bed.arrivalCount() === 1);
    bed.keepHearingStart('t1', BORN);
    expect(await answer).toMatchObject({ status: 200, body: text(3, 5) });
    // The connection is known by now.
    expect(await resume('q3')).toMatchObject({ status: 200, body: text(3, 5) });
  });

  // Guards against the same where control answers later than the heartbeat came after the connection.
  it('gets a stream that goes on once it was heard of again, when control answers late', async () => {
    await start(1);
    bed.knowStream('old', 'v1');
    bed.delayStarts(25);
    const answer = resume('q2');
    await until(() => bed.arrivalCount() === 1);
    bed.keepHearingStart('t1', BORN);
    expect(await answer).toMatchObject({ status: 200, body: text(3, 5) });
  });

  // Guards against a stream whose origin is the version that its target had before it started again.
  it('is told as the origin of a stream only once it was heard of', async () => {
    await start(1);
    expect(await ask(bed.url, { id: 'begun' })).toMatchObject({ status: 200, body: text(0, 5) });
    expect(bed.knownVersion('begun')).toBeUndefined();
    bed.keepHearingStart('t1', BORN);
    await until(() => bed.knownVersion('begun') === 'v1');
  });

  // Guards against the same when the new start has become known.
  it('is not told as the origin of a stream when another start was heard of', async () => {
    await start(1);
    bed.hearStart('t1', BORN + 1n);
    expect(await ask(bed.url, { id: 'begun' })).toMatchObject({ status: 200 });
    await until(() => bed.logged.includes(relayEvents.startUnproven.id));
    bed.keepHearingStart('t1', BORN);
    expect(await ask(bed.url, { id: 'second' })).toMatchObject({ status: 200 });
    // Reports arrive in the order in which they are sent.
    await until(() => bed.knownVersion('second') === 'v1');
    expect(bed.knownVersion('begun')).toBeUndefined();
  });

  // Guards against a stream that leaves a sound target for one whose start nobody has heard of, or that waits for the proof.
  it('gets no stream whose own target only pauses', async () => {
    await start(2);
    let end = (): void => undefined;
    for (const target of bed.targets) {
      target.script = (request, response, body) => {
        const isFirst = bed.arrivalCount() === 1;
        const first = events(0, 2, (written) => {
          end = (): void => {
            written.end(text(3, 5));
          };
        });
        (isFirst ? first : events(3, 5, (written) => written.end()))(request, response, body);
      };
    }
    let seen = '';
    const asked = ask(bed.url, { id: 'begun', onData: (part) => (seen = part) });
    await until(() => seen === text(0, 2));
    const [begun] = bed.targets.filter(({ requests }) => requests.length > 0);
    // Only then may the stream go on elsewhere.
    bed.keepHearingStart(begun?.id ?? '', BORN);
    await until(() => bed.knownVersion('begun') === 'v1');
    const change = { id: `${begun?.id ?? ''}/${BORN}`, name: begun?.id ?? '', born: BORN };
    bed.announce({ ...announced(), [begun?.id ?? '']: { ...change, paused: true, observation: 1n } });
    await until(() => bed.arrivalCount() === 2);
    const askedAt = performance.now();
    end();
    expect(await asked).toMatchObject({ status: 200, body: text(0, 5), whole: true });
    expect(performance.now() - askedAt).toBeLessThan(MAX_BOTH_MS);
  });
});
