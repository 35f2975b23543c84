/** Prompt parts under which targets end, at one entry. */
import { create } from '@bufbuild/protobuf';
import { controlMessage, partFingerprint, requestFingerprint } from '@jasmineroute/protocol';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { RelayBed, answered, routeTo, until } from '../testing/bed.js';
import type { Script } from '../testing/bed.js';
import { ask, events, refusal, stream, text } from '../testing/caller.js';
import type { Answer } from '../testing/caller.js';

const REFUSED = { status: 503, headers: { 't-ran': 'not-run' } };
const STARTS = ['a', 'b', 'c'];

/** Ids of sendings as trials, as many as there may be. */
const TRIALS = ['x', 'y', 'z'];

const evidence = (
  part: string,
  crashed: string[],
  change: { readonly sent?: string[] } = {},
): controlMessage.CrashEvidence =>
  create(controlMessage.CrashEvidenceSchema, {
    request: partFingerprint(part),
    part,
    customer: 'c',
    service: 's',
    crashed,
    ...change,
  });

describe('a prompt part under which targets end', () => {
  let bed: RelayBed;
  let asked = 0;

  beforeEach(async () => {
    bed = await RelayBed.start([routeTo({ kind: 'idempotent', maxAttempts: 2 })], 5);
  });

  afterEach(async () => {
    await bed.stop();
  });

  function send(...parts: string[]): Promise<Answer> {
    asked += 1;
    const headers = { 't-prompt': [...parts, `own${asked}`].join() };
    return ask(bed.url, { id: `q${asked}`, body: `question ${asked}`, headers });
  }

  async function tell(...told: controlMessage.CrashEvidence[]): Promise<void> {
    bed.tellEvidence(told);
    await until(() => bed.evidenceTold);
  }

  const answerWith = (script: Script): void => {
    for (const target of bed.targets) target.script = script;
  };

  const clearedOf = (part: string): string[] => bed.reportedEvidence(partFingerprint(part)).cleared;

  // Guards against new requests that are sent because none like them has crashed anything.
  it('is refused in new requests, also where no other part, caller or body is the same, and others are served', async () => {
    await tell(evidence('deadly', STARTS, { sent: TRIALS }), evidence('first', ['a', 'b']));
    expect(await send('first', 'deadly')).toMatchObject(REFUSED);
    expect(await send('deadly', 'other')).toMatchObject(REFUSED);
    expect(bed.arrivalCount()).toBe(0);
    expect((await send('first', 'other')).status).toBe(200);
  });

  // Guards against sessions that are refused because their own part has the name of a part that crashes targets.
  it('is not looked for in the last part, which is that of the request', async () => {
    await tell(evidence('deadly', STARTS, { sent: TRIALS }));
    const headers = { 't-prompt': 'first,deadly' };
    expect((await ask(bed.url, { headers })).status).toBe(200);
  });

  // Guards against a part that ends two targets by each request with it.
  it('is reported with each target that ended under it, and not sent on once it is suspected', async () => {
    await tell(evidence('deadly', ['a', 'b']));
    answerWith((request) => {
      const target = bed.targets.find(({ requests }) => requests.includes(request));
      void target?.close();
    });
    expect((await send('deadly')).status).toBe(502);
    await until(() => bed.reportedEvidence(partFingerprint('deadly')).crashed.length === 3);
    expect(bed.arrivalCount()).toBe(1);
  });

  // Guards against parts that all requests share and that stay suspected although answers on them end.
  it('is cleared by an answer that ended well of the crashes before it', async () => {
    await tell(evidence('first', STARTS));
    expect((await send('first')).status).toBe(200);
    await until(() => clearedOf('first').length > 0);
    expect(clearedOf('first')).toEqual(expect.arrayContaining(STARTS));
    expect((await send('first')).status).toBe(200);
  });

  // Guards against a part that crashes targets from some moment on and is cleared by an answer that began before.
  it('is not cleared of crashes that became known after the answer had begun', async () => {
    bed.configure([routeTo(stream)]);
    await tell(evidence('late', ['a']));
    let finish = (): void => undefined;
    answerWith(events(0, 1, (response) => (finish = () => response.end(text(2, 3)))));
    let begun = '';
    const answer = ask(bed.url, { headers: { 't-prompt': 'late,own' }, onData: (part) => (begun += part) });
    await until(() => begun === text(0, 1));
    await tell(evidence('late', STARTS));
    finish();
    expect(await answer).toMatchObject({ status: 200, whole: true });
    await until(() => clearedOf('late').length > 0);
    expect(clearedOf('late')).toEqual(['a']);
  });

  const noProofs: [string, Script][] = [
    ['a refusal', refusal],
    ['an error of the target', answered('failed', 500)],
    [
      'an answer without a length',
      (request, response) => {
        const id = String(request.headers['t-id']);
        response.socket?.end(`HTTP/1.1 200 OK\r\nt-id: ${id}\r\nt-signed: yes\r\n\r\ndone`);
      },
    ],
  ];

  // Guards against parts that are cleared by something which a target sends though it ends, or sends without running them.
  it.each(noProofs)('is not cleared by %s', async (_name, script) => {
    await tell(evidence('deadly', ['a', 'b']));
    answerWith(script);
    await send('deadly');
    answerWith(answered());
    expect((await send('other')).status).toBe(200);
    expect(clearedOf('deadly')).toEqual([]);
  });

  // Guards against a part that is cleared by the first events of a stream whose target ends after them.
  it('is not cleared by a stream that breaks off', async () => {
    bed.configure([routeTo({ ...stream, maxAttempts: 1 })]);
    await tell(evidence('deadly', ['a', 'b']));
    answerWith(events(0, 1, (response) => response.socket?.destroy()));
    await send('deadly');
    answerWith(events(0, 1, (response) => response.end()));
    expect((await send('other')).status).toBe(200);
    expect(clearedOf('deadly')).toEqual([]);
  });

  // Guards against sound requests that are refused because a part of theirs was always beside the one that crashes targets.
  it('leaves a part that was always beside it to requests which have that alone', async () => {
    await tell(
      evidence('deadly', STARTS, { sent: ['x', 'y'] }),
      evidence('beside', STARTS, { sent: ['x', 'y'] }),
    );
    expect(await send('beside', 'deadly')).toMatchObject(REFUSED);
    expect((await send('beside')).status).toBe(200);
    await until(() => clearedOf('beside').length > 0);
    expect((await send('beside')).status).toBe(200);
  });

  // Guards against a trial whose crash does not tell which part is its cause, while requests with fewer of them come.
  it('is tried together with others only where none comes with fewer of them', async () => {
    await tell(evidence('deadly', STARTS), evidence('first', STARTS));
    expect(await send('first', 'deadly')).toMatchObject(REFUSED);
    expect(bed.arrivalCount()).toBe(0);
    expect((await send('first')).status).toBe(200);
  });

  // Guards against a part of all requests that is held for good, as one request which crashes targets by itself took its trials.
  it('is not tried by a request that crashed targets itself while others come', async () => {
    const request = requestFingerprint('', '/x', Buffer.from('repeated'));
    const repeated = create(controlMessage.CrashEvidenceSchema, { request, service: 's', crashed: ['a'] });
    await tell(repeated, evidence('first', STARTS));
    const question = { body: 'repeated', headers: { 't-prompt': 'first,own' } };
    expect(await ask(bed.url, question)).toMatchObject(REFUSED);
    expect(bed.arrivalCount()).toBe(0);
    expect((await send('first')).status).toBe(200);
  });

  // Guards against whole requests beside such a part that are refused for crashes which the part explains.
  it('explains the crashes of requests beside it', async () => {
    const request = requestFingerprint('', '/x', Buffer.from('repeated'));
    const repeated = create(controlMessage.CrashEvidenceSchema, { request, service: 's', crashed: STARTS });
    await tell(repeated);
    expect(await ask(bed.url, { body: 'repeated' })).toMatchObject(REFUSED);
    await tell(repeated, evidence('deadly', STARTS, { sent: TRIALS }));
    expect((await ask(bed.url, { body: 'repeated' })).status).toBe(200);
  });
});
