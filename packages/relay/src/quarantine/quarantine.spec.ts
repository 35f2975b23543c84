/** Requests under which targets end, at one entry. */
import { create } from '@bufbuild/protobuf';
import type { Route } from '@jasmineroute/configuration';
import { systemClock } from '@jasmineroute/core';
import { controlMessage, requestFingerprint } from '@jasmineroute/protocol';
import { afterEach, describe, expect, it } from 'vitest';
import { relayEvents } from '../events.js';
import { RelayBed, answered, routeTo, until } from '../testing/bed.js';
import { ask, events, refusal, reset, stream, text } from '../testing/caller.js';
import type { Answer } from '../testing/caller.js';

const DEADLY = 'ends a target';

/** Longer than the interval at which an entry asks for a trial. */
const ATTEMPT_INTERVAL_MS = 2_500;

/** Longer than a stream that leaves its target waits for the next event, milliseconds. */
const AFTER_MOVE_MS = 400;

/** Longer than the time for which the fate of a target is followed. */
const AFTER_FATE_MS = 5_500;

const REFUSED = { status: 503, headers: { 't-ran': 'not-run' } };

describe('a request under which targets end', () => {
  let bed: RelayBed;

  afterEach(async () => {
    await bed.stop();
  });

  /** Starts targets that end under the deadly request, and answer all others. */
  async function start(targets: number, route: Partial<Route> = {}): Promise<void> {
    bed = await RelayBed.start([routeTo(route)], targets);
    for (const target of bed.targets)
      target.script = (request, response, body) => {
        if (body === DEADLY) void target.close();
        else answered()(request, response, body);
      };
  }

  const send = (id: string, body = DEADLY): Promise<Answer> => ask(bed.url, { id, body });

  const evidence = (body: string, crashed: string[]): controlMessage.CrashEvidence =>
    create(controlMessage.CrashEvidenceSchema, {
      request: requestFingerprint('', '/x', Buffer.from(body)),
      service: 's',
      crashed,
    });

  // Guards against a request that ends one target after another, although its entry saw all of them end.
  it('is refused as not run after three crashes, and others are served', async () => {
    await start(5);
    for (const id of ['q1', 'q2', 'q3']) expect((await send(id)).status).toBe(502);
    const before = bed.arrivalCount();
    expect(await send('q4')).toMatchObject(REFUSED);
    expect(bed.arrivalCount()).toBe(before);
    expect((await send('q5', 'ordinary')).status).toBe(200);
  });

  // Guards against a request that is sent by an entry which has not seen it crash anything.
  it('is refused at once when other entries saw the crashes', async () => {
    await start(2);
    bed.tellEvidence([evidence(DEADLY, ['a', 'b', 'c']), evidence('ordinary', ['d', 'e'])]);
    await until(() => bed.evidenceTold);
    expect(await send('q1')).toMatchObject(REFUSED);
    expect(bed.arrivalCount()).toBe(0);
    expect((await send('q2', 'ordinary')).status).toBe(200);
  });

  // Guards against crashes that no other entry learns of.
  it('is reported with each target that ended, and when it ended well', async () => {
    await start(3);
    await send('q1');
    await until(
      () => bed.reportedEvidence(requestFingerprint('', '/x', Buffer.from(DEADLY))).crashed.length === 1,
    );
    bed.tellEvidence([evidence('ordinary', ['a', 'b'])]);
    await until(() => bed.evidenceTold);
    expect((await send('q2', 'ordinary')).status).toBe(200);
    await until(
      () => bed.reportedEvidence(requestFingerprint('', '/x', Buffer.from('ordinary'))).cleared.length === 2,
    );
  });

  // Guards against a request whose caller leaves before it ends a target, and that is sent for good therefore.
  it('is held to have ended a target that ends after its caller has left', async () => {
    bed = await RelayBed.start([routeTo({})]);
    const [target] = bed.targets;
    if (target === undefined) throw new Error('no target');
    target.script = () => undefined;
    bed.tellEvidence([evidence(DEADLY, ['a'])]);
    await until(() => bed.evidenceTold);
    await ask(bed.url, { id: 'q1', body: DEADLY, signal: AbortSignal.timeout(100) }).catch(() => undefined);
    bed.announce({ [target.id]: { id: `${target.id}/2` } });
    const request = requestFingerprint('', '/x', Buffer.from(DEADLY));
    await until(() => bed.reportedEvidence(request).crashed.includes(target.id));
  });

  // Guards against an entry that sends a request to one target after another, all of which end under it.
  it('ends at most one more target by the retries of one attempt of its caller', async () => {
    await start(6, { kind: 'idempotent', maxAttempts: 6 });
    expect((await send('q1')).status).toBe(502);
    expect(bed.arrivalCount()).toBeLessThanOrEqual(2);
  });

  // Guards against a request that reaches targets without end, as no crash counts an attempt which they refuse.
  it('reaches targets three times at most while it is doubtful, though they refuse it', async () => {
    await start(6, { kind: 'idempotent', maxAttempts: 6 });
    for (const target of bed.targets) target.script = refusal;
    bed.tellEvidence([evidence(DEADLY, ['a', 'b', 'c']), evidence('beside', ['a', 'b', 'c'])]);
    await until(() => bed.evidenceTold);
    for (let attempt = 1; attempt <= 6; attempt += 1) {
      await send(`q${attempt}`);
      await systemClock.sleep(ATTEMPT_INTERVAL_MS);
    }
    expect(bed.arrivalCount()).toBe(3);
    expect(await send('q7')).toMatchObject(REFUSED);
  }, 30_000);

  // Guards against a request that reaches targets without end, as its callers leave before a target ends under it.
  it('reaches targets three times at most while it is doubtful, though its callers leave', async () => {
    await start(1);
    bed.tellEvidence([evidence(DEADLY, ['a', 'b', 'c']), evidence('beside', ['a', 'b', 'c'])]);
    await until(() => bed.evidenceTold);
    for (let attempt = 1; attempt <= 4; attempt += 1) {
      const leaves = new AbortController();
      bed.target(1).script = () => {
        leaves.abort();
      };
      const question = { id: `q${attempt}`, body: DEADLY, signal: leaves.signal };
      await ask(bed.url, question).catch(() => undefined);
      await systemClock.sleep(AFTER_FATE_MS);
    }
    expect(bed.arrivalCount()).toBe(3);
  }, 60_000);

  // Guards against a request that is sent after its third crash is known, as it came before and waited for a target.
  it('is refused when the crashes become known while it waits for a target', async () => {
    bed = await RelayBed.startUnannounced([routeTo()], 2);
    const answer = send('q1');
    await until(() => bed.logged.includes(relayEvents.waiting.id));
    bed.tellEvidence([evidence(DEADLY, ['a', 'b', 'c'])]);
    await until(() => bed.evidenceTold);
    bed.announce();
    expect(await answer).toMatchObject(REFUSED);
    expect(bed.arrivalCount()).toBe(0);
  });

  // Guards against a request that is sent after its third crash is known, as it waited for a connection to its target.
  it('is refused when the crashes become known while it waits for a connection', async () => {
    bed = await RelayBed.start([routeTo()], 1, { services: [{ name: 's', maxConnections: 2 }] });
    let finish = (): void => undefined;
    bed.target(1).script = (...exchange) => {
      finish = () => {
        answered()(...exchange);
      };
    };
    const first = send('q1', 'ordinary');
    await until(() => bed.arrivalCount() === 1);
    const second = send('q2');
    await until(() => bed.open === 2);
    bed.tellEvidence([evidence(DEADLY, ['a', 'b', 'c'])]);
    await until(() => bed.evidenceTold);
    finish();
    expect((await first).status).toBe(200);
    expect(await second).toMatchObject(REFUSED);
    expect(bed.arrivalCount()).toBe(1);
  });

  // Guards against streams near crashes that break off while weights are replaced, as no other target may take them over.
  it('stays at a target that pauses when it is not sent on', async () => {
    bed = await RelayBed.start([routeTo(stream)], 2);
    bed.tellEvidence([evidence(DEADLY, ['a', 'b'])]);
    await until(() => bed.evidenceTold);
    for (const target of bed.targets)
      target.script = events(0, 1, (response) => {
        systemClock.after(AFTER_MOVE_MS, () => response.end(text(2, 3)));
      });
    let begun = '';
    const answer = ask(bed.url, { body: DEADLY, onData: (part) => (begun = part) });
    await until(() => begun === text(0, 1));
    const paused = bed.targets.find(({ requests }) => requests.length > 0)?.id ?? '';
    bed.announce({ [paused]: { paused: true, observation: 1n } });
    expect(await answer).toMatchObject({ body: text(0, 3), whole: true });
    expect(bed.arrivalCount()).toBe(1);
  });

  // Guards against ordinary requests that are refused because connections were reset under them.
  it('is not taken for one whose connections are reset', async () => {
    await start(4);
    for (const target of bed.targets) target.script = reset;
    for (const id of ['q1', 'q2', 'q3', 'q4']) expect((await send(id)).status).toBe(502);
    for (const target of bed.targets) target.script = answered();
    expect((await send('q5')).status).toBe(200);
  });
});
