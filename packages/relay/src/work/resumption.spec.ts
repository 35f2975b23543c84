/** Requests that resume a stream of one of several software versions at an entry that did not begin it. */
import type { Route } from '@jasmineroute/configuration';
import { afterEach, describe, expect, it } from 'vitest';
import { RelayBed, routeTo, until } from '../testing/bed.js';
import { ask, events, stream, text } from '../testing/caller.js';
import type { Answer } from '../testing/caller.js';

const NOT_RUN = { status: 503, headers: { 't-ran': 'not-run' } };
const otherRoute = (pathPrefix: string): Route =>
  routeTo({ ...stream, name: 'other', pathPrefix, services: [{ service: 'other', weight: 1 }] });
const VERSIONS = { t3: 'v1.1', t4: 'v1.1' };

describe('a request that resumes a stream', () => {
  let bed: RelayBed;

  afterEach(async () => {
    await bed.stop();
  });

  async function start(...args: Parameters<typeof RelayBed.start>): Promise<void> {
    bed = await RelayBed.start(...args);
    for (const target of bed.targets) {
      target.script = (request, response, body) => {
        const after = String(request.headers['t-after']);
        const first = after === '' ? 0 : Number(after) + 1;
        events(first, 5, (written) => written.end())(request, response, body);
      };
    }
  }

  const resume = (id: string, resumes: string, last = '2'): Promise<Answer> =>
    ask(bed.url, { id, headers: { 't-resumes': resumes, 't-last': last } });

  const used = (): string[] => bed.targets.filter(({ requests }) => requests.length > 0).map(({ id }) => id);

  // Guards against events of two software versions over a caller's tries.
  it('goes to targets of the version that began the stream only', async () => {
    await start([routeTo(stream)], 4, {}, VERSIONS);
    bed.knowStream('old', 'v1.1');
    for (let n = 0; n < 10; n += 1)
      expect(await resume(`q${n}`, 'old')).toMatchObject({ status: 200, body: text(3, 5) });
    expect(VERSIONS).toMatchObject(Object.fromEntries(used().map((id) => [id, 'v1.1'])));
    expect(bed.attempts[0]).toMatchObject({ resumes: 'old', resumesAfter: '2', softwareVersion: 'v1.1' });
  });

  // Guards against a stream that no other entry knows.
  it('finds the version that an entry reported with the first event', async () => {
    await start([routeTo(stream)], 4, {}, VERSIONS);
    await ask(bed.url, { id: 'begun' });
    const [began] = bed.attempts;
    await until(() => bed.knownVersion('begun') !== undefined);
    expect(bed.knownVersion('begun')).toBe(began?.softwareVersion);
    expect(await resume('q2', 'begun')).toMatchObject({ status: 200, body: text(3, 5) });
    expect(bed.attempts[1]?.softwareVersion).toBe(began?.softwareVersion);
  });

  // Guards against an entry out of touch that takes the one software version it knows for the only one.
  it('is refused when nobody knows the version that began the stream', async () => {
    await start([routeTo(stream)], 2);
    expect(await resume('q2', 'q1')).toMatchObject(NOT_RUN);
    expect(bed.arrivalCount()).toBe(0);
  });

  // Guards against a guess: without the request that began it, nobody knows which version a stream has.
  it.each([
    ['control knows two versions', ['v1', 'v1.1'], true],
    ['control knows targets without a version', ['v1', ''], true],
    ['control has not listened for long enough', ['v1'], false],
    ['control knows none', [], true],
  ])(
    'is refused without the name of the request that began the stream when %s',
    async (_when, versions, complete) => {
      await start([routeTo(stream)], 1);
      bed.listVersions(versions, complete);
      const answer = await ask(bed.url, { id: 'q2', headers: { 't-last': '2' } });
      expect(answer).toMatchObject(NOT_RUN);
      expect(bed.arrivalCount()).toBe(0);
    },
  );

  // Guards against streams that are refused after a loss of all instances, before each target has told its version.
  it('goes on once control knows the versions of targets that were announced without', async () => {
    await start([routeTo(stream)], 2);
    bed.listVersions(['', 'v1']);
    const asked = ask(bed.url, { id: 'q2', headers: { 't-last': '2' } });
    await until(() => bed.versionLists > 0);
    bed.listVersions(['v1']);
    expect(await asked).toMatchObject({ status: 200, body: text(3, 5) });
  });

  // Guards against callers of older releases whose streams never go on although all targets have one version.
  it('goes on without the name of the request that began the stream while all targets have one version', async () => {
    await start([routeTo(stream)], 2);
    bed.listVersions(['v1']);
    const answer = await ask(bed.url, { id: 'q2', headers: { 't-last': '2' } });
    expect(answer).toMatchObject({ status: 200, body: text(3, 5) });
  });

  const resumeUnnamed = (id: string): Promise<Answer> =>
    ask(bed.url, { id, path: '/x/1', headers: { 't-last': '2' } });

  // Guards against an entry that still has an older list of control instances, none of which knows the newer version.
  it('is refused when a control instance that the entry has not heard of knows another version', async () => {
    await start([routeTo(stream)], 2);
    const unheard = await RelayBed.unheardControl(['v1', 'v2']);
    bed.listVersions(['v1']);
    expect(await resumeUnnamed('q2')).toMatchObject({ status: 200 });
    bed.nameControl(unheard.address);
    expect(await resumeUnnamed('q3')).toMatchObject(NOT_RUN);
    await unheard.close();
    expect(await resumeUnnamed('q4')).toMatchObject(NOT_RUN);
    expect(bed.arrivalCount()).toBe(1);
  });

  // Guards against an entry whose configuration is older than the one by which the stream began.
  it('is refused without the name of the request when control holds a newer configuration', async () => {
    await start([routeTo(stream)], 2);
    bed.listVersions(['v1']);
    bed.holdNewerConfiguration();
    expect(await resumeUnnamed('q2')).toMatchObject(NOT_RUN);
    expect(bed.arrivalCount()).toBe(0);
  });

  // Guards against a stream that goes on at another service than the one that began it.
  it.each([
    [
      'its route led to another service',
      [routeTo({ ...stream, services: [{ service: 'other', weight: 1 }] })],
    ],
    ['a longer route has led to another service', [routeTo(stream), otherRoute('/x/')]],
  ])('is refused without the name of the request when %s just before', async (_when, before) => {
    const services = [{ name: 's' }, { name: 'other' }];
    await start(before, 2, { services });
    bed.listVersions(['v1']);
    bed.configure([routeTo(stream)], { services });
    await until(() => bed.configured === 2);
    expect(await resumeUnnamed('q2')).toMatchObject(NOT_RUN);
    expect(bed.arrivalCount()).toBe(0);
  });

  // Guards against streams that are refused after each change of the configuration.
  it('goes on without the name of the request when other routes have moved', async () => {
    const services = [{ name: 's' }, { name: 'other' }];
    await start([routeTo(stream), otherRoute('/y/')], 2, { services });
    bed.listVersions(['v1']);
    bed.configure([routeTo({ ...stream, objectiveMs: 50 })], { services });
    await until(() => bed.configured === 2);
    expect(await resumeUnnamed('q2')).toMatchObject({ status: 200, body: text(3, 5) });
  });

  // Guards against an entry with an older configuration that lets any target go on after the caller's last event.
  it('is refused where the configuration of the entry says that streams of the route are not resumed', async () => {
    await start([routeTo({ ...stream, resumable: false })], 2);
    bed.listVersions(['v1']);
    expect(await resumeUnnamed('q2')).toMatchObject(NOT_RUN);
    bed.knowStream('old', 'v1');
    expect(await resume('q3', 'old')).toMatchObject(NOT_RUN);
    expect(bed.arrivalCount()).toBe(0);
  });

  // Guards against a caller that waits for a version that has left.
  it('is refused at once, to begin anew, when no target of the version serves', async () => {
    await start([routeTo(stream)], 2);
    bed.knowStream('old', 'v0.9');
    const answer = await resume('q2', 'old');
    expect(answer).toMatchObject(NOT_RUN);
    expect(Number(answer.headers['retry-after'])).toBeLessThan(0.1);
    expect(bed.arrivalCount()).toBe(0);
  });

  // Guards against streams that are given up half-way while new ones begin at targets of other versions.
  it('goes on where a new request is refused for lack of capacity', async () => {
    await start([routeTo(stream)], 1);
    const [only] = bed.targets;
    const goOn = only?.script;
    if (only === undefined || goOn === undefined) throw new Error('no target');
    only.script = events(0, 0, () => undefined);
    const prompt = { 't-prompt': 'a,b' };
    const open = ['q1', 'q2', 'q3'].map((id) => ask(bed.url, { id, headers: prompt }));
    await until(() => bed.arrivalCount() === open.length);
    only.script = goOn;
    expect(await ask(bed.url, { id: 'new', headers: prompt })).toMatchObject(NOT_RUN);
    bed.knowStream('old', 'v1');
    const headers = { ...prompt, 't-resumes': 'old', 't-last': '2' };
    expect(await ask(bed.url, { id: 'q4', headers })).toMatchObject({ status: 200, body: text(3, 5) });
    for (const socket of only.sockets) socket.destroy();
    await Promise.all(open);
  });

  // Guards against a stream that goes on at another service of a split route.
  it('goes to the service that began the stream, while the route leads there', async () => {
    const split = [
      { service: 'other', weight: 1_000 },
      { service: 's', weight: 1 },
    ];
    const services = [{ name: 's' }, { name: 'other' }];
    await start([routeTo({ ...stream, services: split })], 1, { services });
    bed.knowStream('old', 'v1');
    bed.knowStream('moved', 'v1', 'elsewhere');
    expect(await resume('q2', 'old')).toMatchObject({ status: 200, body: text(3, 5) });
    expect(await resume('q3', 'moved')).toMatchObject(NOT_RUN);
    expect(bed.arrivalCount()).toBe(1);
  });
});
