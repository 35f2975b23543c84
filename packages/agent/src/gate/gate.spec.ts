import { Code, ConnectError } from '@connectrpc/connect';
import { systemClock } from '@jasmineroute/core';
import { gateMessage } from '@jasmineroute/protocol';
import { createChain, encodeChain } from '@jasmineroute/routing';
import { afterEach, describe, expect, it } from 'vitest';
import { GateTestbed, waitUntil } from '../fixture/index.js';
import type { FakeCacheEvent, EventCollector } from '../fixture/index.js';

const { Ran } = gateMessage;
const testbeds: GateTestbed[] = [];

afterEach(async () => {
  for (const testbed of testbeds.splice(0)) await testbed.stop();
});

async function startTestbed(
  options: ConstructorParameters<typeof GateTestbed>[0] = {},
): Promise<GateTestbed> {
  const testbed = await new GateTestbed(options).start();
  testbeds.push(testbed);
  return testbed;
}

function refusalOf(run: EventCollector): string {
  const { last } = run;
  return last?.case === 'refusal' ? last.value.kind : `not refused: ${String(last?.case)}`;
}

function failureOf(run: EventCollector): { kind: string; ran: gateMessage.Ran } | undefined {
  return run.last?.case === 'failure' ? run.last.value : undefined;
}

function ordinals(run: EventCollector): number[] {
  return run.eventsWithoutHeartbeats.map(({ ordinal }) => Number(ordinal));
}

/** Polls of 5 ms without a change after which a sender counts as held back rather than slow. */
const UNCHANGED_POLLS = 60;

const fourBlocks = Buffer.alloc(256, 'abcd');
const namespace = { customer: 'c', model: 'm', adapter: '', weightsVersion: '1' };

/** Cache events for the four blocks of `fourBlocks`. */
function stored(sequence: number): FakeCacheEvent {
  const tokens = Array.from({ length: 64 }, () => fourBlocks.readUInt32LE(0));
  const place = { salt: 'c', model: 'm', adapter: '', version: '1', parent: null, block_tokens: 16 };
  return { type: 'stored', sequence, hashes: ['h1', 'h2', 'h3', 'h4'], tokens, ...place };
}

describe('a run', () => {
  it('yields accepted, head, chunks and end with ordinals and usage', async () => {
    const testbed = await startTestbed();
    const run = testbed.run('a-1');
    await testbed.whenStarted('a-1');
    testbed.engine.emit('a-1', 'one ', 'two');
    testbed.engine.finish('a-1');
    expect(await run.ended).toBeUndefined();
    expect(run.text).toBe('one two');
    expect(run.eventsWithoutHeartbeats.map(({ event }) => event.case)).toEqual(
      expect.arrayContaining(['accepted', 'head', 'chunk', 'end']),
    );
    expect(ordinals(run)).toEqual(ordinals(run).map((_, index) => index));
    expect(run.last).toMatchObject({ case: 'end', value: { promptTokens: 64, outputTokens: 2 } });
    expect(testbed.engine.bodies[0]).toMatchObject({ priority: -5, cache_salt: 'c' });
    expect(testbed.engine.headers[0]).toMatchObject({ 'x-parent-request-id': 'of-a-1' });
  });

  it('sends heartbeats while the engine sends nothing', async () => {
    const testbed = await startTestbed();
    const run = testbed.run('a-1');
    await waitUntil(
      () => run.events.filter(({ event }) => event.case === 'heartbeat').length >= 2,
      'two heartbeats',
    );
    expect(run.events.at(-1)?.ordinal).toBe(2n);
  });

  it.each([
    ['wrong-incarnation', { incarnation: 'engine-0/77' }],
    ['wrong-incarnation', { incarnation: 'engine-1/76' }],
    ['wrong-incarnation', { incarnation: '' }],
    ['model-not-loaded', { model: 'other' }],
    ['model-not-loaded', { weightsVersion: '2' }],
    ['model-not-loaded', { adapter: 'none' }],
    ['no-target', { service: 'other' }],
    ['deadline-unmeetable', { deadlineMs: 0 }],
  ])('is refused as %s for %j and never reaches the engine', async (kind, change) => {
    const testbed = await startTestbed();
    const run = testbed.run('a-1', change);
    expect(await run.ended).toBeUndefined();
    expect(refusalOf(run)).toBe(kind);
    expect(testbed.engine.executions).toEqual([]);
  });

  it('is sent to the engine by priority, and the lowest is refused when the queue is full', async () => {
    const testbed = await startTestbed({ queue: 2 });
    testbed.engine.capacity = 1;
    await waitUntil(() => testbed.engineMonitor.status().state?.capacity === 1, 'capacity 1');
    const first = testbed.run('first');
    await testbed.whenStarted('first');
    const low = testbed.run('low', { priority: 1 });
    const middle = testbed.run('middle', { priority: 5 });
    await waitUntil(() => low.events.length > 0 && middle.events.length > 0, 'both accepted');
    const high = testbed.run('high', { priority: 9 });
    await low.ended;
    expect(refusalOf(low)).toBe('overloaded');
    for (const attemptId of ['first', 'high', 'middle']) {
      await testbed.whenStarted(attemptId);
      testbed.engine.finish(attemptId);
    }
    await Promise.all([first.ended, high.ended, middle.ended]);
    expect(testbed.engine.executions).toEqual(['first', 'high', 'middle']);
  });
});

describe('a run with a short deadline', () => {
  it('is refused when its first token cannot arrive before the deadline, with a pause before a retry', async () => {
    const testbed = await startTestbed();
    testbed.engine.capacity = 1;
    await waitUntil(() => testbed.engineMonitor.status().state?.capacity === 1, 'capacity 1');
    const slow = testbed.run('slow');
    await testbed.whenStarted('slow');
    // The duration of the run, which the test sets; not a wait for a condition.
    await systemClock.sleep(100);
    testbed.engine.finish('slow');
    await slow.ended;
    testbed.run('running');
    await testbed.whenStarted('running');
    const late = testbed.run('late', { deadlineMs: 50 });
    await late.ended;
    expect(refusalOf(late)).toBe('deadline-unmeetable');
    expect(late.last).toMatchObject({ value: { retryAfterMs: expect.any(Number) as number } });
    expect(testbed.engine.executions).toEqual(['slow', 'running']);
  });
});

describe('a run in the queue', () => {
  it('is refused as not run when the weights of the engine change meanwhile', async () => {
    // A request is answered by other weights than those it was routed for. The weights of the engine change while the
    // run waits in the queue, and the checks made on its arrival are not repeated before it is sent.
    const testbed = await startTestbed();
    testbed.engine.capacity = 1;
    await waitUntil(() => testbed.engineMonitor.status().state?.capacity === 1, 'capacity 1');
    const first = testbed.run('first');
    await testbed.whenStarted('first');
    const waiting = testbed.run('waiting');
    await waitUntil(() => waiting.events.length > 0, 'waiting');
    testbed.engine.models = [{ model: 'm', version: '2', adapters: [] }];
    await waitUntil(() => testbed.engineMonitor.status().state?.models[0]?.version === '2', 'new weights');
    testbed.engine.finish('first');
    await Promise.all([first.ended, waiting.ended]);
    expect(refusalOf(waiting)).toBe('model-not-loaded');
    expect(testbed.engine.executions).toEqual(['first']);
  });
});

describe('attempts', () => {
  it('executes a Run that arrives twice only once', async () => {
    // One request is executed twice. The Run message is sent again because its connection was silent, both copies
    // arrive, and the gate does not recognise the attempt by its id.
    const testbed = await startTestbed();
    const first = testbed.run('a-1');
    await testbed.whenStarted('a-1');
    const second = testbed.run('a-1');
    testbed.engine.emit('a-1', 'x');
    testbed.engine.finish('a-1');
    await Promise.all([first.ended, second.ended]);
    expect(testbed.engine.executions).toEqual(['a-1']);
    expect([first.text, second.text]).toEqual(['x', 'x']);
    const late = testbed.run('a-1');
    await late.ended;
    expect(late.text).toBe('x');
    expect(testbed.engine.executions).toEqual(['a-1']);
  });

  it('refuses a Run that arrives after its Cancel', async () => {
    // A request runs after its Cancel was answered NOT_RUN. Cancel overtakes a delayed Run, and the cancellation of an
    // unknown attempt is not recorded.
    const testbed = await startTestbed();
    expect(await testbed.cancel('a-1')).toBe(Ran.NOT_RUN);
    const run = testbed.run('a-1');
    await run.ended;
    expect(refusalOf(run)).toBe('cancelled');
    expect(testbed.engine.executions).toEqual([]);
  });

  it('does not report as not run what a predecessor may have accepted', async () => {
    // Cancel of a request that has run is answered NOT_RUN. An agent sends a run to the engine and dies, and its
    // successor takes an unknown attempt for one that never arrived.
    const testbed = await startTestbed();
    expect(await testbed.cancel('a-1', 'engine-1/76')).toBe(Ran.MAY_HAVE_RUN);
    expect(await testbed.cancel('a-2', '')).toBe(Ran.MAY_HAVE_RUN);
    expect(await testbed.cancel('a-3', 'engine-0/77')).toBe(Ran.NOT_RUN);
  });

  it('reports whether a cancelled attempt has run, as far as that is certain', async () => {
    const testbed = await startTestbed();
    testbed.engine.capacity = 1;
    await waitUntil(() => testbed.engineMonitor.status().state?.capacity === 1, 'capacity 1');
    const sent = testbed.run('sent');
    await testbed.whenStarted('sent');
    const queued = testbed.run('queued');
    await waitUntil(() => queued.events.length > 0, 'queued');
    expect(await testbed.cancel('queued')).toBe(Ran.NOT_RUN);
    await queued.ended;
    expect(refusalOf(queued)).toBe('cancelled');
    expect(await testbed.cancel('sent')).toBe(Ran.MAY_HAVE_RUN);
    await sent.ended;
    expect(failureOf(sent)).toMatchObject({ kind: 'cancelled', ran: Ran.MAY_HAVE_RUN });
    expect(testbed.engine.cancelled).toEqual(['sent']);
    const done = testbed.run('done');
    await testbed.whenStarted('done');
    testbed.engine.finish('done');
    await done.ended;
    expect(await testbed.cancel('done')).toBe(Ran.RAN);
    expect(testbed.engine.executions).toEqual(['sent', 'done']);
  });

  it('ends at the deadline and reports that it may have run', async () => {
    const testbed = await startTestbed();
    const run = testbed.run('a-1', { deadlineMs: 150 });
    await run.ended;
    expect(failureOf(run)).toMatchObject({ kind: 'deadline-exceeded', ran: Ran.MAY_HAVE_RUN });
    expect(testbed.engine.cancelled).toEqual(['a-1']);
  });
});

describe('connections of entries', () => {
  it('resumes a broken stream without loss or repetition', async () => {
    // An answer lacks or repeats text. The connection between entry and agent breaks inside the stream while the engine
    // continues, and the run is tied to the connection or is resumed at the wrong event.
    const testbed = await startTestbed();
    const run = testbed.run('a-1');
    await testbed.whenStarted('a-1');
    testbed.engine.emit('a-1', 'one ');
    await waitUntil(() => run.text === 'one ', 'first token');
    run.abortStream();
    await run.ended;
    testbed.engine.emit('a-1', 'two ', 'three');
    const rest = testbed.resume('a-1', run.eventsWithoutHeartbeats.length);
    testbed.engine.finish('a-1');
    await rest.ended;
    expect(run.text + rest.text).toBe('one two three');
    expect([...ordinals(run), ...ordinals(rest)]).toEqual(
      [...ordinals(run), ...ordinals(rest)].map((_, index) => index),
    );
    expect(testbed.engine.executions).toEqual(['a-1']);
  });

  it('cancels an idempotent run without a reader, and finishes a non-idempotent one', async () => {
    // An engine generates for callers that are gone, or a non-idempotent answer is discarded half-way. The entry dies
    // inside the stream, and the run has no bound without a reader or ends with the connection. Another entry asks later.
    const testbed = await startTestbed({ readerGraceMs: 100 });
    const repeatable = testbed.run('repeatable');
    const once = testbed.run('once', { idempotent: false });
    await Promise.all([testbed.whenStarted('repeatable'), testbed.whenStarted('once')]);
    repeatable.abortStream();
    once.abortStream();
    await Promise.all([repeatable.ended, once.ended]);
    await waitUntil(() => testbed.engine.cancelled.includes('repeatable'), 'cancelled');
    testbed.engine.emit('once', 'kept');
    testbed.engine.finish('once');
    const later = testbed.resume('once', 0);
    await later.ended;
    expect(later.text).toBe('kept');
    expect(testbed.engine.cancelled).toEqual(['repeatable']);
    expect(testbed.engine.executions).toHaveLength(2);
  });

  it('refuses to resume an unknown attempt', async () => {
    const testbed = await startTestbed();
    const error = await testbed.resume('a-1', 0).ended;
    expect(ConnectError.from(error).code).toBe(Code.NotFound);
  });

  it('applies back pressure to the engine for a slow reader, in bounded memory', async () => {
    // The memory of the agent grows without bound. An entry stops reading while the engine generates quickly, and events
    // are buffered without pausing the engine.
    const testbed = await startTestbed({ bufferBytes: 64 * 1024 });
    const block = Buffer.alloc(16 * 1024, 'x');
    let written = 0;
    testbed.engine.onCompletion = (request, response) => {
      const headers = {
        'content-type': 'text/event-stream',
        'x-request-id': request.headers['x-request-id'],
      };
      response.writeHead(200, headers);
      const write = (): void => {
        while (written < 2_000) {
          written++;
          if (response.write(`data: ${block.toString()}\n\n`)) continue;
          response.once('drain', write);
          return;
        }
        response.end('data: [DONE]\n\n');
      };
      write();
    };
    const stop = new AbortController();
    const stream = testbed.client.run(testbed.request('a-1'), { signal: stop.signal });
    const iterator = stream[Symbol.asyncIterator]();
    await iterator.next();
    let [before, unchanged] = [-1, 0];
    await waitUntil(() => {
      unchanged = before === written ? unchanged + 1 : 0;
      before = written;
      return unchanged === UNCHANGED_POLLS;
    }, 'the engine is held back');
    expect(written).toBeLessThan(2_000);
    let size = 0;
    for (let next = await iterator.next(); next.done !== true; next = await iterator.next()) {
      if (next.value.event.case === 'chunk') size += next.value.event.value.length;
    }
    expect(size).toBe(2_000 * (block.length + 8) + 'data: [DONE]\n\n'.length);
  });
});

describe('connections of the engine', () => {
  it('resumes an interrupted answer at the same engine', async () => {
    // An answer fails although its engine is healthy. The connection between agent and engine is reset inside the
    // stream, and the end of the connection is taken for the end of the answer.
    const testbed = await startTestbed();
    const run = testbed.run('a-1');
    await testbed.whenStarted('a-1');
    testbed.engine.emit('a-1', 'one ');
    await waitUntil(() => run.text === 'one ', 'first token');
    testbed.engine.resetConnection('a-1');
    testbed.engine.emit('a-1', 'two ', 'three');
    testbed.engine.finish('a-1');
    await run.ended;
    expect(run.text).toBe('one two three');
    expect(run.last?.case).toBe('end');
    expect(testbed.engine.executions).toEqual(['a-1']);
  });

  it('resumes an answer on a new connection when the old one is silent', async () => {
    // A caller waits until its deadline for an answer that the engine has finished. The connection carries no more data
    // in either direction but stays open, and only closed connections are detected.
    const testbed = await startTestbed({ silenceMs: 200 });
    testbed.engine.onCompletion = undefined;
    const run = testbed.run('a-1');
    await testbed.whenStarted('a-1');
    testbed.engine.emit('a-1', 'one ');
    await waitUntil(() => run.text === 'one ', 'first token');
    testbed.engine.silence('a-1');
    testbed.engine.emit('a-1', 'two');
    testbed.engine.finish('a-1');
    await run.ended;
    expect(run.text).toBe('one two');
    expect(testbed.engine.executions).toEqual(['a-1']);
  });

  it('fails as may have run when the engine has crashed', async () => {
    // A run hangs, or is resumed at an engine that does not know it. The engine crashes inside the stream and restarts
    // at once, and the new process is taken for the old one.
    const testbed = await startTestbed();
    const run = testbed.run('a-1');
    await testbed.whenStarted('a-1');
    testbed.engine.emit('a-1', 'one ');
    await waitUntil(() => run.text === 'one ', 'first token');
    await testbed.engine.restart('engine-2');
    await run.ended;
    expect(failureOf(run)?.ran).toBe(Ran.MAY_HAVE_RUN);
    expect(testbed.engine.executions).toEqual(['a-1']);
  });

  it('stops runs of a crashed engine, and keeps those of its new process', async () => {
    // A caller waits until its deadline for a JSON answer of a crashed engine. The crash closes no connection on the
    // side of the agent, the engine restarts, and only broken connections end runs.
    const testbed = await startTestbed();
    testbed.engine.onCompletion = () => undefined;
    const body = Buffer.from(JSON.stringify({ model: 'm', prompt: 'p' }));
    const run = testbed.run('a-1', { body });
    await testbed.whenStarted('a-1');
    const checks = testbed.engine.healthChecks;
    await waitUntil(
      () => testbed.engine.healthChecks > checks + 1,
      'a health check after the start of the run',
    );
    testbed.engine.incarnation = 'engine-2';
    await run.ended;
    expect(failureOf(run)).toMatchObject({ kind: 'target-lost', ran: Ran.MAY_HAVE_RUN });
    testbed.engine.onCompletion = undefined;
    const next = testbed.run('a-2', { incarnation: 'engine-2/77' });
    await testbed.whenStarted('a-2');
    testbed.engine.finish('a-2');
    await next.ended;
    expect(next.last?.case).toBe('end');
  });

  it('keeps a run of the new engine process that was sent before the restart was noticed', async () => {
    // Runs of a healthy engine fail when its restart is noticed. A run reaches the new process before a health check
    // sees its incarnation, and every run sent until then is attributed to the old process.
    const testbed = await startTestbed();
    let answer: () => void = () => undefined;
    testbed.engine.onCompletion = (request, response) => {
      testbed.engine.incarnation = 'engine-2';
      answer = () => {
        response.setHeader('x-request-id', request.headers['x-request-id'] ?? '');
        response.setHeader('x-engine-incarnation', 'engine-2');
        response.end('{}');
      };
    };
    const run = testbed.run('a-1', { body: Buffer.from('{"model":"m","prompt":"p"}') });
    await waitUntil(
      () => testbed.engineMonitor.status().state?.incarnation === 'engine-2',
      'restart noticed',
    );
    answer();
    await run.ended;
    expect(run.last?.case).toBe('end');
  });

  it('never sends a non-idempotent request a second time', async () => {
    // A non-idempotent request is executed twice. The engine reads the request and resets the connection before it
    // answers, and a lower layer retries on its own.
    const testbed = await startTestbed();
    testbed.engine.onCompletion = (request) => {
      request.socket.resetAndDestroy();
    };
    const run = testbed.run('a-1', { idempotent: false });
    await run.ended;
    expect(failureOf(run)).toMatchObject({ kind: 'target-lost', ran: Ran.MAY_HAVE_RUN });
    expect(testbed.engine.executions).toEqual(['a-1']);
  });

  it('refuses as not run when the engine cannot be reached', async () => {
    const testbed = await startTestbed();
    const { changes } = testbed;
    await testbed.engine.crash();
    const run = testbed.run('a-1');
    await run.ended;
    expect(refusalOf(run)).toBe('target-unreachable');
    await waitUntil(() => !testbed.engineMonitor.status().ready, 'not ready');
    // Announced immediately, not with the next heartbeat.
    expect(testbed.changes).toBe(changes + 1);
  });
});

describe('a probe', () => {
  it('returns the exact cached prefix, and none after a restart or for another customer', async () => {
    // Requests are sent to a target whose cache is gone, and wait for an unexpected prefill. The engine restarts with an
    // empty cache between probe and run, the index is kept, and the decision is not bound to the incarnation.
    const testbed = await startTestbed();
    testbed.engine.snapshot = { sequence: 4, events: [stored(4)] };
    await testbed.engine.restart('engine-2');
    await waitUntil(() => testbed.index.synchronised && testbed.index.counts().blocks === 4, 'synchronised');
    const { service, model, weightsVersion } = testbed.request('x');
    const probe = (customer: string) =>
      testbed.client.probe({
        ...{ service, model, weightsVersion, promptTokens: 64, priority: 5 },
        chain: encodeChain(createChain({ ...namespace, customer }, fourBlocks)),
      });
    const before = await probe('c');
    expect(before).toMatchObject({ accepting: true, cachedTokens: 64, incarnation: 'engine-2/77' });
    expect((await probe('d')).cachedTokens).toBe(0);
    testbed.engine.snapshot = { sequence: 0, events: [] };
    await testbed.engine.restart('engine-3');
    await waitUntil(
      () => testbed.engineMonitor.status().state?.incarnation === 'engine-3',
      'restart noticed',
    );
    expect((await probe('c')).cachedTokens).toBe(0);
    const run = testbed.run('a-1', { incarnation: before.incarnation });
    await run.ended;
    expect(refusalOf(run)).toBe('wrong-incarnation');
    expect(testbed.engine.executions).toEqual([]);
  });

  it('reports no cached blocks after a gap until the index is restored from a snapshot', async () => {
    // A probe promises blocks that the engine has evicted. The event that removes them is lost, and the missing sequence
    // number in a later event is not detected.
    const testbed = await startTestbed();
    testbed.engine.snapshot = { sequence: 1, events: [stored(1)] };
    await testbed.engine.restart('engine-2');
    await waitUntil(
      () => testbed.engine.openCacheStreams === 1 && testbed.index.counts().blocks === 4,
      'the stream of cache events is open',
    );
    testbed.engine.snapshot = { sequence: 7, events: [] };
    testbed.engine.publish({ type: 'removed', sequence: 7, hashes: ['other'] });
    await waitUntil(
      () => testbed.index.sequence === 7 && testbed.index.synchronised,
      'the index is restored',
    );
    expect(testbed.index.counts().blocks).toBe(0);
    testbed.engine.publish({ ...stored(8), incarnation: 'engine-1' });
    testbed.engine.publish({ ...stored(8) });
    await waitUntil(() => testbed.index.counts().blocks === 4, 'later events are applied');
  });
});

describe('leaving', () => {
  it('refuses new runs at once and finishes the others', async () => {
    // A target that is being replaced still accepts runs. The agent is asked to leave, an entry with an old view sends a
    // run, and only the views of the entries keep runs away.
    const testbed = await startTestbed();
    const running = testbed.run('running');
    await testbed.whenStarted('running');
    testbed.isLeaving = true;
    const late = testbed.run('late');
    await late.ended;
    expect(refusalOf(late)).toBe('target-leaving');
    testbed.engine.emit('running', 'all of it');
    testbed.engine.finish('running');
    await running.ended;
    await testbed.gate.whenDrained();
    expect(running.text).toBe('all of it');
    expect(testbed.engine.executions).toEqual(['running']);
  });

  it('waits for a reader that lost its connection at the end', async () => {
    // A planned stop interrupts an answer that the engine has finished. The connection breaks while the last events are
    // in transit, and a run counts as finished when the engine is done rather than when the reader has all events.
    const testbed = await startTestbed({ readerGraceMs: 2_000 });
    const run = testbed.run('a-1');
    await testbed.whenStarted('a-1');
    run.abortStream();
    await waitUntil(() => testbed.gate.openReaders() === 0, 'the broken connection is noticed');
    testbed.engine.emit('a-1', 'the end');
    testbed.engine.finish('a-1');
    let isDrained = false;
    const draining = testbed.gate.whenDrained().then(() => {
      isDrained = true;
    });
    await waitUntil(() => testbed.gate.load(0).running === 0, 'the engine has finished');
    expect(isDrained).toBe(false);
    const rest = testbed.resume('a-1', run.eventsWithoutHeartbeats.length);
    await Promise.all([rest.ended, draining]);
    expect(rest.text).toBe('the end');
  });
});
