/** Requests under which targets end, at one entry. */
import { create } from '@bufbuild/protobuf';
import type { Route } from '@jasmineroute/configuration';
import { controlMessage, requestFingerprint } from '@jasmineroute/protocol';
import { afterEach, describe, expect, it } from 'vitest';
import { RelayBed, answered, routeTo, until } from '../testing/bed.js';
import { ask, reset } from '../testing/caller.js';
import type { Answer } from '../testing/caller.js';

const DEADLY = 'ends a target';
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
    bed.tellEvidence([evidence(DEADLY, ['a', 'b', 'c']), evidence('ordinary', ['a', 'b'])]);
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

  // Guards against ordinary requests that are refused because connections were reset under them.
  it('is not taken for one whose connections are reset', async () => {
    await start(4);
    for (const target of bed.targets) target.script = reset;
    for (const id of ['q1', 'q2', 'q3', 'q4']) expect((await send(id)).status).toBe(502);
    for (const target of bed.targets) target.script = answered();
    expect((await send('q5')).status).toBe(200);
  });
});
