import { once } from 'node:events';
import { Agent } from 'node:http';
import { connect } from 'node:net';
import type { Socket } from 'node:net';
import { create } from '@bufbuild/protobuf';
import type { Configuration } from '@jasmineroute/configuration';
import { afterActive, systemClock } from '@jasmineroute/core';
import { controlMessage } from '@jasmineroute/protocol';
import { blockLoop, openConnections } from '@jasmineroute/testkit';
import { afterEach, describe, expect, it } from 'vitest';
import { relayEvents } from './events.js';
import { RelayBed, answered, routeTo, until } from './testing/bed.js';
import { ask, events, refusal, reset, stream, text } from './testing/caller.js';
import type { Script } from './testing/bed.js';

/** Maximum number of requests sent until one reaches a target in time. */
const MAX_TRIES = 5;

describe('a relaying entry', () => {
  let bed: RelayBed;

  afterEach(async () => {
    await bed.stop();
  });

  const start = async (...args: Parameters<typeof RelayBed.start>): Promise<string> => {
    bed = await RelayBed.start(...args);
    return bed.url;
  };

  /** The target that gets the first request runs `first`; each later request runs `others`. */
  const scriptInTurn = (first: Script, others: Script): void => {
    for (const target of bed.targets) {
      target.script = (request, response, body) => {
        (bed.arrivalCount() === 1 ? first : others)(request, response, body);
      };
    }
  };

  it('forwards a request and its answer, and adds its own headers', async () => {
    const customers = [{ name: 'harbour', keys: ['k'], isolated: false }];
    const url = await start([routeTo({ open: false })], 1, { customers });
    let seen = '';
    bed.target(1).script = (request, response, body) => {
      seen = `${request.method} ${request.url} ${body} ${String(request.headers['t-customer'])}`;
      answered('the answer')(request, response, body);
    };
    const answer = await ask(url, { path: '/x?y=1', headers: { 't-key': 'k', 't-deadline': '900' } });
    expect(answer).toMatchObject({ status: 200, body: 'the answer', whole: true });
    expect(seen).toBe('POST /x?y=1 question harbour');
    const headers = bed.target(1).requests[0]?.headers ?? {};
    expect(headers['t-target']).toBe('t1');
    expect(Number(headers['t-deadline'])).toBeLessThanOrEqual(900);
    expect(Number(headers['t-deadline'])).toBeGreaterThan(500);
  });

  it('refuses requests that the configuration does not allow', async () => {
    const customers = [{ name: 'harbour', keys: ['k'], isolated: false }];
    const url = await start([routeTo({ open: false, pathPrefix: '/x/' })], 1, { customers });
    const key = { 't-key': 'k' };
    expect((await ask(url, { path: '/y/1', headers: key })).status).toBe(404);
    expect((await ask(url, { path: '/x/1', host: 'b.example', headers: key })).status).toBe(404);
    expect((await ask(url, { path: '/x/1' })).status).toBe(401);
    expect((await ask(url, { path: '/x/1', headers: { 't-key': 'z' } })).status).toBe(401);
    expect((await ask(url, { path: '/x/1', headers: key })).status).toBe(200);
    expect(bed.arrivalCount()).toBe(1);
  });

  // Without these lines the log would not show why an entry serves no callers.
  it('logs the reason for its readiness once per change', async () => {
    await start([routeTo()]);
    expect(bed.readinessReasons.at(0)).toBe('not yet confirmed by a quorum');
    expect(bed.readinessReasons.at(-1)).toBe('serving');
    expect(new Set(bed.readinessReasons).size).toBe(bed.readinessReasons.length);
  });

  // Guards against reporting a request that ran as not run, which makes its caller send it again.
  it('reports "not run" only when the target has stated it', async () => {
    const url = await start([routeTo()], 1);
    bed.target(1).script = refusal;
    const refused = await ask(url);
    expect(refused.status).toBe(503);
    expect(Number(refused.headers['retry-after'])).toBeGreaterThan(0);
    bed.target(1).script = reset;
    expect((await ask(url)).status).toBe(502);
    bed.target(1).script = answered('overloaded', 503);
    expect((await ask(url)).status).toBe(502);
    expect(bed.arrivalCount()).toBe(3);
  });

  it('retries idempotent requests, and never those that may run only once', async () => {
    const once = routeTo({ maxAttempts: 3, pathPrefix: '/once/' });
    const repeatable = routeTo({ name: 'r2', kind: 'idempotent', maxAttempts: 3, pathPrefix: '/often/' });
    const url = await start([once, repeatable], 2);
    scriptInTurn(reset, answered('second'));
    expect((await ask(url, { path: '/once/1' })).status).toBe(502);
    expect(bed.arrivalCount()).toBe(1);
    for (const target of bed.targets) target.requests.length = 0;
    expect(await ask(url, { path: '/often/1' })).toMatchObject({ status: 200, body: 'second' });
    expect(bed.arrivalCount()).toBe(2);
  });

  it('sends to no more targets than the route allows', async () => {
    const url = await start([routeTo({ kind: 'idempotent', maxAttempts: 2 })], 3);
    for (const target of bed.targets) target.script = reset;
    expect((await ask(url)).status).toBe(502);
    expect(bed.arrivalCount()).toBe(2);
  });

  // Guards against an answer of a target in trouble whose status callers can't read.
  it.each([600, 999])('takes an answer with the status %d for a failure of the target', async (status) => {
    const url = await start([routeTo()], 1);
    bed.target(1).script = answered('trouble', status);
    expect(await ask(url)).toMatchObject({ status: 502, whole: true });
  });

  it('forwards an error answer unchanged when no other attempt succeeds', async () => {
    const url = await start([routeTo({ kind: 'idempotent', maxAttempts: 2 })], 2);
    for (const target of bed.targets) target.script = answered('it broke', 500);
    const answer = await ask(url);
    expect(answer).toMatchObject({ status: 500, body: 'it broke' });
    expect(answer.headers['t-signed']).toBe('yes');
    expect(bed.arrivalCount()).toBe(2);
  });

  it('uses another target when the first is unreachable, even for requests that may run only once', async () => {
    const url = await start([routeTo()], 2);
    await bed.target(1).close();
    for (let n = 0; n < 6; n += 1) expect((await ask(url, { id: `q${n}` })).status).toBe(200);
    expect(bed.target(2).requests).toHaveLength(6);
  });

  it('never forwards an answer with the id of another request', async () => {
    const url = await start([routeTo()], 1);
    bed.target(1).script = (_request, response) => {
      response.writeHead(200, { 't-id': 'somebody-else', 't-signed': 'yes' });
      response.end('secret');
    };
    const answer = await ask(url);
    expect(answer.status).toBe(502);
    expect(answer.body).not.toContain('secret');
  });

  it('excludes a target once another one answers at its address', async () => {
    const url = await start([routeTo()], 2);
    bed.target(1).script = (_request, response) => {
      response.writeHead(421, { 't-target': 't9', 't-not-run': '1' });
      response.end();
    };
    const statuses = new Set<number>();
    for (let n = 0; n < 20; n += 1) statuses.add((await ask(url, { id: `q${n}` })).status);
    expect(bed.target(1).requests.length).toBeLessThanOrEqual(1);
    expect(bed.target(2).requests.length).toBeGreaterThanOrEqual(19);
  });

  // Guards against forwarding a partial answer as if it were complete.
  it('treats an answer without a length as complete when its connection ends, and as broken when it is reset', async () => {
    const url = await start([routeTo()], 1);
    const unframed =
      (finish: (socket: Socket) => void): Script =>
      ({ socket, headers }) => {
        const head = `HTTP/1.1 200 OK\r\nt-id: ${String(headers['t-id'])}\r\nt-signed: yes\r\n\r\n`;
        socket.write(`${head}half`, () => {
          setTimeout(() => {
            finish(socket);
          }, 20);
        });
      };
    bed.target(1).script = unframed((socket) => socket.end(' and half'));
    expect(await ask(url)).toMatchObject({ status: 200, body: 'half and half', whole: true });
    bed.target(1).script = unframed((socket) => socket.resetAndDestroy());
    expect((await ask(url)).status).toBe(502);
  });

  // Guards against holding a request past the timeout of its route, and against "not run" for one that may have run.
  it('answers when the time of a route is over', async () => {
    const url = await start([routeTo({ timeoutMs: 150 })], 1);
    bed.target(1).script = () => undefined;
    const unsent: string[] = [];
    for (let asked = 0; asked < MAX_TRIES && bed.arrivalCount() === 0; asked += 1) {
      const id = `q${asked}`;
      let isHeld = false;
      const cancel = afterActive(systemClock, 500, () => {
        isHeld = true;
      });
      const { status } = await ask(url, { id });
      cancel();
      expect(isHeld).toBe(false);
      // If the machine stalls that long, the request is never sent, and provably does not run. What was sent may not have arrived yet.
      const isSent = bed.attempts.some(({ request, waitedMs }) => request === id && waitedMs !== undefined);
      expect(status).toBe(isSent ? 504 : 503);
      if (!isSent) unsent.push(id);
    }
    const arrived = bed.target(1).requests.map(({ headers }) => String(headers['t-id']));
    expect(arrived).not.toHaveLength(0);
    expect(new Set(arrived).size).toBe(arrived.length);
    for (const id of unsent) expect(arrived).not.toContain(id);
  });

  // Guards against reporting a request that was never sent as run, which makes its caller give up.
  it('reports a request as not run if its deadline passed before it was sent', async () => {
    const url = await start([routeTo({ timeoutMs: 150 })], 1);
    const [caller] = await openConnections(new URL(url).host, 1);
    if (caller === undefined) throw new Error('no connection');
    // Nothing of the request is read before the event loop is blocked.
    caller.write('GET /x HTTP/1.1\r\nhost: a.example\r\nt-id: q1\r\n\r\n');
    blockLoop(250);
    const [answer] = (await once(caller, 'data')) as [Buffer];
    caller.destroy();
    expect([answer.toString().slice(0, 12), bed.arrivalCount()]).toEqual(['HTTP/1.1 503', 0]);
  });

  it('cancels the request of a caller that left', async () => {
    const url = await start([routeTo()], 1);
    let closed = false;
    bed.target(1).script = (request) => {
      request.socket.on('close', () => (closed = true));
    };
    const abort = new AbortController();
    const asked = ask(url, { signal: abort.signal }).catch(() => undefined);
    await until(() => bed.arrivalCount() === 1);
    abort.abort();
    await asked;
    await until(() => closed);
  });

  // Guards against events of a stream that are lost, duplicated or truncated.
  it('resumes a stream at another target after the last event, as one answer', async () => {
    const url = await start([routeTo(stream)], 2);
    const interruptedStream = events(0, 2, (response) => {
      response.write('id: 3\nda', () => response.socket?.resetAndDestroy());
    });
    scriptInTurn(interruptedStream, (request, response, body) => {
      const after = Number(request.headers['t-after']);
      events(after + 1, 5, (written) => written.end())(request, response, body);
    });
    expect(await ask(url)).toMatchObject({ status: 200, body: text(0, 5), whole: true });
    expect(bed.arrivalCount()).toBe(2);
  });

  // Guards against an answer that combines the signed headers of two targets.
  it('forwards nothing from a target that was lost before its first event', async () => {
    const url = await start([routeTo(stream)], 2);
    const lost = events(0, -1, (response) => {
      response.flushHeaders();
      setTimeout(() => response.socket?.resetAndDestroy(), 20);
    });
    scriptInTurn(
      lost,
      events(0, 1, (response) => response.end()),
    );
    const answer = await ask(url);
    expect(answer).toMatchObject({ status: 200, body: text(0, 1) });
    expect(answer.headers['t-signed']).toBe('yes');
  });

  // Guards against one answer with events of two software versions.
  it('resumes a stream at no target of another software version', async () => {
    const url = await start([routeTo({ ...stream, maxAttempts: 3 })], 3, {}, { t3: 'v1.1' });
    const interruptedStream = events(0, 2, (response) => {
      response.write('id: 3\nda', () => response.socket?.resetAndDestroy());
    });
    scriptInTurn(interruptedStream, (request, response, body) => {
      events(Number(request.headers['t-after']) + 1, 5, (written) => written.end())(request, response, body);
    });
    for (let n = 0; n < 12; n += 1) {
      for (const target of bed.targets) target.requests.length = 0;
      const { whole } = await ask(url, { id: `q${n}` });
      const used = bed.targets.filter(({ requests }) => requests.length > 0).map(({ id }) => id);
      expect([['t1', 't2'], ['t3']]).toContainEqual(used);
      expect(whole).toBe(used.length === 2);
    }
  });

  // Guards against a stream that leaves its target for one of another software version, or that breaks off for lack of another.
  it('keeps a stream at a target that pauses when no other one has its software version', async () => {
    const url = await start([routeTo(stream)], 2, {}, { t2: 'v1.1' });
    let end = (): void => undefined;
    scriptInTurn(
      events(0, 1, (response) => {
        end = (): void => {
          response.write(text(2, 3));
          response.end();
        };
      }),
      reset,
    );
    const asked = ask(url, {
      onData: (seen) => {
        if (seen !== text(0, 1)) return;
        const [begun] = bed.targets.filter(({ requests }) => requests.length > 0);
        bed.announce({ [begun?.id ?? '']: { paused: true, observation: 1n } });
        setTimeout(() => {
          end();
        }, 400);
      },
    });
    expect(await asked).toMatchObject({ status: 200, body: text(0, 3), whole: true });
    expect(bed.arrivalCount()).toBe(1);
  });

  // Guards against a stream that leaves a sound target for another one which pauses before it gets there: nobody goes on with it.
  it('keeps a stream at a target that pauses together with all others', async () => {
    const url = await start([routeTo(stream)], 3);
    let end = (): void => undefined;
    scriptInTurn(
      events(0, 1, (response) => {
        end = (): void => {
          response.write(text(2, 2));
          setTimeout(() => {
            response.write(text(3, 3));
            response.end();
          }, 400);
        };
      }),
      refusal,
    );
    let seen = '';
    const asked = ask(url, { onData: (part) => (seen = part) });
    await until(() => seen === text(0, 1));
    const begun = bed.targets.find(({ requests }) => requests.length > 0);
    const paused = { paused: true, observation: 1n };
    // One after the other, as entries learn of it.
    bed.announce({ [begun?.id ?? '']: paused });
    bed.announce(Object.fromEntries(bed.targets.map(({ id }) => [id, paused])));
    setTimeout(() => {
      end();
    }, 100);
    expect(await asked).toMatchObject({ status: 200, body: text(0, 3), whole: true });
    expect(bed.arrivalCount()).toBe(1);
  });

  it('breaks off a stream that is not resumable, so that it never appears complete', async () => {
    const url = await start([routeTo({ ...stream, resumable: false })], 2);
    const interruptedStream = events(0, 1, (response) => {
      response.write('id: 2\nda', () => response.socket?.resetAndDestroy());
    });
    scriptInTurn(
      interruptedStream,
      events(0, 5, (response) => response.end()),
    );
    expect(await ask(url)).toMatchObject({ whole: false, body: text(0, 1) });
    expect(bed.arrivalCount()).toBe(1);
  });

  // Guards against a caller that waits until its deadline, or receives an error page inside its stream.
  it('adds nothing but events to a stream that has begun', async () => {
    const url = await start([routeTo(stream)], 2);
    const interruptedStream = events(0, 1, (response) => {
      response.write('id: 2\nda', () => response.socket?.resetAndDestroy());
    });
    scriptInTurn(interruptedStream, answered('it broke', 500));
    expect(await ask(url)).toMatchObject({ whole: false, body: text(0, 1) });
    for (const target of bed.targets) target.requests.length = 0;
    scriptInTurn(interruptedStream, answered('no such page', 404));
    expect(await ask(url)).toMatchObject({ whole: false, body: text(0, 1) });
  });

  it('forwards an error answer on a route of streams unchanged', async () => {
    const url = await start([routeTo({ ...stream, resumable: false })], 1);
    bed.target(1).script = answered('no such page', 404);
    expect(await ask(url)).toMatchObject({ status: 404, body: 'no such page', whole: true });
  });

  it('moves a stream off a target that pauses', async () => {
    const url = await start([routeTo(stream)], 2);
    scriptInTurn(
      events(0, 1, () => undefined),
      (request, response, body) => {
        const after = Number(request.headers['t-after']);
        events(after + 1, 3, (written) => written.end())(request, response, body);
      },
    );
    let begun = '';
    const answer = ask(url, { onData: (part) => (begun = part) });
    await until(() => begun === text(0, 1));
    const first = bed.targets.find(({ requests }) => requests.length > 0);
    bed.announce({ [first?.id ?? '']: { paused: true, observation: 1n } });
    expect(await answer).toMatchObject({ body: text(0, 3), whole: true });
  });

  // Guards against streams that break off while weights are replaced.
  it('resumes a moved stream at a third target when the second has no capacity', async () => {
    const url = await start([routeTo(stream)], 3);
    for (const target of bed.targets) {
      target.script = (request, response, body) => {
        const scripts = [events(0, 1, () => undefined), refusal, events(2, 3, (written) => written.end())];
        (scripts[bed.arrivalCount() - 1] ?? refusal)(request, response, body);
      };
    }
    let begun = '';
    const answer = ask(url, { onData: (part) => (begun = part) });
    await until(() => begun === text(0, 1));
    const first = bed.targets.find(({ requests }) => requests.length > 0);
    bed.announce({ [first?.id ?? '']: { paused: true, observation: 1n } });
    expect(await answer).toMatchObject({ body: text(0, 3), whole: true });
  });

  it('sends the version of the weights, and separates their caches', async () => {
    const url = await start([routeTo(stream)], 1);
    bed.target(1).script = events(0, 0, (response) => response.end());
    await ask(url, { headers: { 't-prompt': 'a,b' } });
    const headers = bed.target(1).requests[0]?.headers ?? {};
    expect(headers['t-version']).toBe('1');
    expect(headers['t-salt']).toContain('weights-1');
  });

  // Guards against answering a prompt from cache entries of another customer's request.
  it('separates the cache of an isolated customer', async () => {
    const customers = ['alone', 'other', 'third'].map((name) => ({
      name,
      keys: [`key-${name}`],
      isolated: name === 'alone',
    }));
    const url = await start([routeTo({ ...stream, open: false })], 1, { customers });
    bed.target(1).script = events(0, 0, (response) => response.end());
    for (const { keys } of customers) {
      await ask(url, { headers: { 't-prompt': 'a,b', 't-key': keys[0] ?? '' } });
    }
    const [alone, other, third] = bed.target(1).requests.map(({ headers }) => headers['t-salt']);
    expect(alone).toContain('alone');
    expect(other).toBe(third);
    expect(other).not.toBe(alone);
  });

  // Guards against running a request on cache entries made under other weights.
  it('sets a target that has the shared part as the source while it has the same weights', async () => {
    const url = await start([routeTo({ ...stream, maxAttempts: 1 })], 2);
    const [first, second] = [bed.target(1), bed.target(2)];
    for (const target of bed.targets) target.script = events(0, 0, () => undefined);
    const asked = (): Promise<unknown> => {
      const before = bed.arrivalCount();
      ask(url, { headers: { 't-prompt': 'a,b' } }).catch(() => undefined);
      return until(() => bed.arrivalCount() > before);
    };
    const source = (): unknown => first.requests.at(-1)?.headers['t-source'];
    bed.reportCached(second, { salt: 'weights-1', model: 'm', part: 'a' });
    for (let n = 0; n < 20 && source() !== second.address; n += 1) await asked();
    expect(source()).toBe(second.address);
    const weights = [create(controlMessage.NamedWeightsSchema, { model: 'm', version: 2n })];
    bed.announce({ t2: { sequence: 2n, weights } });
    for (let n = 0; n < 20 && source() !== ''; n += 1) await asked();
    expect(source()).toBe('');
  });

  // Guards against delays of some hundred milliseconds in all first tokens.
  it('sets a reachable store as the source and copy destination, and none for a prompt without shared parts', async () => {
    const store = '127.0.0.1:9';
    const services = [{ name: 's' }, { name: 'kept', storeAddress: store }];
    const url = await start([routeTo({ ...stream, maxAttempts: 1 })], 1, { services });
    bed.target(1).script = events(0, 0, (response) => response.end());
    const namedCaches = async (parts: string): Promise<unknown[]> => {
      await ask(url, { headers: { 't-prompt': parts } });
      const headers = bed.target(1).requests.at(-1)?.headers;
      return [headers?.['t-source'], headers?.['t-copy']];
    };
    expect(await namedCaches('a,b')).toEqual([store, store]);
    expect(await namedCaches('b')).toEqual(['', '']);
    bed.reportLostStores([store]);
    let other = 0;
    await expect.poll(() => namedCaches(`other-${(other += 1)},b`)).toEqual(['', '']);
  });

  // Guards against rereading shared parts although the stores together have room for them.
  it('distributes shared parts over all reachable stores, each part to one store', async () => {
    const stores = ['127.0.0.1:9', '127.0.0.1:10', '127.0.0.1:11'];
    const kept = stores.map((storeAddress, at) => ({
      name: `kept-${at}`,
      storeAddress,
      cacheTokens: 1_000_000,
    }));
    const services = [{ name: 's' }, ...kept];
    const url = await start([routeTo({ ...stream, maxAttempts: 1 })], 1, { services });
    bed.target(1).script = events(0, 0, (response) => response.end());
    const namedSource = async (part: string): Promise<unknown> => {
      await ask(url, { headers: { 't-prompt': `${part},own` } });
      return bed.target(1).requests.at(-1)?.headers['t-source'];
    };
    const parts = Array.from({ length: 24 }, (_, at) => `part-${at}`);
    const storeOf = new Map<string, unknown>();
    for (const part of parts) storeOf.set(part, await namedSource(part));
    expect(new Set(storeOf.values())).toEqual(new Set(stores));
    for (const part of parts) expect(await namedSource(part)).toBe(storeOf.get(part));
    const [lost = ''] = stores;
    bed.reportLostStores([lost]);
    await expect
      .poll(() => namedSource(parts.find((part) => storeOf.get(part) === lost) ?? ''))
      .not.toBe(lost);
    for (const part of parts.filter((one) => storeOf.get(one) !== lost)) {
      expect(await namedSource(part)).toBe(storeOf.get(part));
    }
  });

  // Guards against refusing callers for good after a loss of all instances, although targets are available.
  it('holds a request until a target is known during its startup grace period', async () => {
    bed = await RelayBed.startUnannounced([routeTo()], 1);
    const asked = ask(bed.url);
    await until(() => bed.logged.includes(relayEvents.waiting.id));
    bed.announce();
    expect(await asked).toMatchObject({ status: 200, whole: true });
  });

  describe.each([
    ['stream', { ...stream }],
    ['request that runs once', { kind: 'once' as const }],
    ['request that may be repeated', { kind: 'idempotent' as const, maxAttempts: 2 }],
  ])('in a planned stop, of a %s', (_title, kind) => {
    const LONG_MS = 15_000;

    /** Starts an entry beside another one, with callers' connections that were used before. */
    async function startKept(extra: Partial<Configuration> = {}): Promise<{ url: string; agents: Agent[] }> {
      const routes = [routeTo({ ...kind, timeoutMs: LONG_MS })];
      const url = await start(routes, 1, extra);
      bed.reportEntries(2);
      bed.target(1).script = events(0, 1, (response) => response.end());
      const agents = [1, 2].map(() => new Agent({ keepAlive: true, maxSockets: 1 }));
      for (const agent of agents) await ask(url, { agent, id: 'before' });
      return { url, agents };
    }

    // Guards against an answer that the end of a planned stop cuts off, as its target took longer than was estimated.
    it('refuses as not run what its caller may wait for beyond the stop, and serves the rest', async () => {
      const { url, agents } = await startKept();
      const [first, second] = agents;
      const arrived = bed.arrivalCount();
      const drained = bed.drain();
      const prompt = { 't-prompt': 'a,b', 't-output': '10' };
      const long = await ask(url, { agent: first, id: 'long', headers: prompt });
      expect(long).toMatchObject({ status: 503 });
      expect(long.headers['t-ran']).toBe('not-run');
      expect(long.headers.connection).toBe('close');
      expect(Number(long.headers['retry-after'])).toBeLessThan(0.1);
      expect(bed.arrivalCount()).toBe(arrived);
      const short = await ask(url, { agent: second, id: 'short', headers: { 't-deadline': '2000' } });
      expect(short).toMatchObject({ status: 200, whole: true });
      await drained;
      for (const agent of agents) agent.destroy();
    });

    // Guards against a request that is sent on in a planned stop, as its head arrived before it.
    it('refuses as not run what is uploaded when the stop begins', async () => {
      const { url, agents } = await startKept();
      const arrived = bed.arrivalCount();
      const { hostname, port } = new URL(url);
      const socket = connect(Number(port), hostname);
      let received = '';
      socket.on('data', (bytes) => (received += bytes.toString()));
      const head = 'POST /x HTTP/1.1\r\nhost: a.example\r\nt-id: up\r\ncontent-length: 8\r\n\r\n';
      socket.write(`${head}ques`);
      await until(() => bed.open === 1);
      const drained = bed.drain();
      socket.write('tion');
      await until(() => received !== '');
      expect(received).toMatch(/^HTTP\/1.1 503 /);
      expect(received).toContain('t-ran: not-run');
      expect(bed.arrivalCount()).toBe(arrived);
      await drained;
      for (const agent of agents) agent.destroy();
    });

    // Guards against a request that is sent on in a planned stop, as it waited for a connection when that began.
    it('refuses as not run what waits for a connection when the stop begins', async () => {
      const { url, agents } = await startKept({ services: [{ name: 's', maxConnections: 1 }] });
      const arrived = bed.arrivalCount();
      let finish: () => void = () => undefined;
      bed.target(1).script = events(0, 1, (response) => {
        finish = () => response.end();
      });
      const begun = ask(url, { id: 'begun' });
      await until(() => bed.arrivalCount() === arrived + 1);
      const waiting = ask(url, { id: 'waiting' });
      await until(() => bed.open === 2);
      const drained = bed.drain();
      finish();
      expect(await begun).toMatchObject({ status: 200, whole: true });
      const refused = await waiting;
      expect(refused).toMatchObject({ status: 503 });
      expect(refused.headers['t-ran']).toBe('not-run');
      expect(bed.arrivalCount()).toBe(arrived + 1);
      await drained;
      for (const agent of agents) agent.destroy();
    });
  });

  // Guards against callers who return at once, again and again, to the only entry, which refuses them all.
  it('names the end of a planned stop where it knows no other entry', async () => {
    const url = await start([routeTo({ timeoutMs: 15_000 })], 1);
    const drained = bed.drain();
    const refused = await ask(url);
    expect(refused.status).toBe(503);
    expect(Number(refused.headers['retry-after'])).toBeGreaterThan(7);
    expect(Number(refused.headers['retry-after'])).toBeLessThanOrEqual(8);
    await drained;
  });

  // Guards against a planned stop that cuts off a request sent seconds after the stop began.
  it('accepts no request on a connection whose stream outlasted the start of a planned stop', async () => {
    const url = await start([routeTo(stream)], 1);
    let finish: () => void = () => undefined;
    bed.target(1).script = events(0, 0, (response) => {
      finish = () => response.end();
    });
    const agent = new Agent({ keepAlive: true, maxSockets: 1 });
    let begun = '';
    const first = ask(url, { agent, onData: (part) => (begun = part) });
    await until(() => begun !== '');
    const drained = bed.drain();
    finish();
    expect((await first).whole).toBe(true);
    await drained;
    await expect(ask(url, { agent, id: 'q2' })).rejects.toThrow();
    expect(bed.arrivalCount()).toBe(1);
    agent.destroy();
  });
});
