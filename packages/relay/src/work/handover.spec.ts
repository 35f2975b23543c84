/** Streams that leave a target which still serves them: what the next target does until it has taken them. */
import type { ServerResponse } from 'node:http';
import { knowledgeEvents } from '@jasmineroute/knowledge';
import { blockLoop } from '@jasmineroute/testkit';
import { afterEach, describe, expect, it } from 'vitest';
import { RelayBed, answered, routeTo, until } from '../testing/bed.js';
import type { Script, ScriptedTarget } from '../testing/bed.js';
import { ask, events, refusal, reset, stream, text } from '../testing/caller.js';
import type { Answer } from '../testing/caller.js';

const LAST_EVENT = 5;

/** Longest time for which two targets may work on one stream, milliseconds. */
const MAX_BOTH_MS = 400;

/** Longer than a target may be silent before its streams look for another one, milliseconds. */
const SILENCE_MS = 1_300;

const WHOLE = { status: 200, whole: true, body: text(0, LAST_EVENT) };

/** Goes on after the last event that the caller has. */
const goOn: Script = (request, response, body) => {
  events(Number(request.headers['t-after']) + 1, LAST_EVENT, (written) => written.end())(
    request,
    response,
    body,
  );
};

/** Begins an answer, and resets its connection before the first event. */
const resetAtHead: Script = (request, response) => {
  response.writeHead(200, { 't-id': request.headers['t-id'], 't-signed': 'yes' });
  response.flushHeaders();
  setTimeout(() => response.socket?.resetAndDestroy(), 20);
};

const loading: Script = (request, response) => {
  response.writeHead(421, { 't-id': request.headers['t-id'], 't-not-run': '1' });
  response.end();
};

/** Answers of a target that does not take a stream, by what they are. */
const failures: readonly (readonly [string, Script])[] = [
  ['is full', refusal],
  ['has other weights than announced', loading],
  ['resets the connection', reset],
  ['breaks off before its first event', resetAtHead],
  ['answers with an error', answered('it broke', 500)],
  ['answers with events that the caller has', events(0, 1, () => undefined)],
  ['says nothing', () => undefined],
];

/** Those that leave the route another attempt, or none open. */
const silentCases: ReadonlySet<string> = new Set([
  'is full',
  'has other weights than announced',
  'says nothing',
]);

describe('a stream whose target still serves it', () => {
  let bed: RelayBed;
  let asked: Promise<Answer>;
  let first: ScriptedTarget;
  /** The answer of its first target, once it has begun. */
  let begun: ServerResponse;
  let isFirstClosed = false;
  let timer: NodeJS.Timeout | undefined;

  afterEach(async () => {
    clearTimeout(timer);
    await bed.stop();
  });

  const others = (): ScriptedTarget[] => bed.targets.filter((target) => target !== first);

  const arrivedAtOthers = (): number => others().reduce((sum, { requests }) => sum + requests.length, 0);

  /** Starts a stream that has two events; every other target runs `next`. */
  async function begin(targets: number, next: Script, change = {}, settings = {}): Promise<void> {
    bed = await RelayBed.start([routeTo({ ...stream, ...change })], targets, {}, {}, settings);
    isFirstClosed = false;
    for (const target of bed.targets) {
      target.script = (request, response, body) => {
        if (bed.arrivalCount() > 1) {
          next(request, response, body);
          return;
        }
        first = target;
        events(0, 1, (opened) => {
          begun = opened;
          request.socket.on('close', () => (isFirstClosed = true));
        })(request, response, body);
      };
    }
    let seen = '';
    asked = ask(bed.url, { onData: (part) => (seen = part) });
    await until(() => seen === text(0, 1));
  }

  /** Announces that the first target pauses, and waits until the entry has heard it. */
  const pauseFirst = async (): Promise<void> => {
    const changes = (): number => bed.logged.filter((id) => id === knowledgeEvents.targetChanged.id).length;
    const before = changes();
    bed.announce({ [first.id]: { paused: true, observation: 1n } });
    await until(() => changes() > before);
  };

  /** The first target sends an event, after which a stream leaves if it can. */
  const sendOne = (): void => {
    begun.write(text(2, 2));
  };

  const finishFirst = (): void => {
    begun.write(text(3, LAST_EVENT));
    begun.end();
  };

  const finishFirstAfter = (ms: number): void => {
    timer = setTimeout(finishFirst, ms);
  };

  // Guards against a stream that leaves a sound target for one that does not take it, and is broken off.
  it.each(failures)('stays at a target that pauses when the next one %s', async (_what, script) => {
    await begin(2, script);
    await pauseFirst();
    sendOne();
    await until(() => arrivedAtOthers() === 1);
    finishFirstAfter(500);
    expect(await asked).toMatchObject(WHOLE);
  });

  // Guards against a stream that is broken off as the retry budget is used up by targets that do not take it.
  it('stays at a target that pauses when no budget is left to ask a third one', async () => {
    await begin(4, refusal, { maxAttempts: 3 }, { retryShare: 0, retrySlack: 1 });
    await pauseFirst();
    sendOne();
    await until(() => arrivedAtOthers() === 1);
    finishFirstAfter(100);
    expect(await asked).toMatchObject(WHOLE);
    expect(arrivedAtOthers()).toBe(1);
  });

  // Guards against a stream that ends as it was sent as often as its route allows, though its first target serves it.
  it('stays at a target that pauses when its route allows no other one', async () => {
    await begin(3, reset);
    await pauseFirst();
    sendOne();
    await until(() => arrivedAtOthers() === 1);
    finishFirstAfter(100);
    expect(await asked).toMatchObject(WHOLE);
    expect(arrivedAtOthers()).toBe(1);
  });

  // Guards against a silent target that is given up before another one has taken its stream.
  it.each(failures.filter(([what]) => silentCases.has(what)))(
    'stays at a silent target when the next one %s, and goes on with it',
    async (_what, script) => {
      await begin(2, script);
      await until(() => arrivedAtOthers() > 0);
      let goesOnAt = Number.POSITIVE_INFINITY;
      timer = setTimeout(() => {
        goesOnAt = performance.now();
        sendOne();
        finishFirst();
      }, 200);
      expect(await asked).toMatchObject(WHOLE);
      expect(performance.now() - goesOnAt).toBeLessThan(MAX_BOTH_MS);
    },
  );

  // Guards against a silent target that is given up as another one has the request, which that one then refuses.
  it('stays at a silent target when the next one refuses late', async () => {
    await begin(2, (...exchange) => {
      setTimeout(refusal, MAX_BOTH_MS, ...exchange);
    });
    await until(() => arrivedAtOthers() > 0);
    timer = setTimeout(() => {
      sendOne();
      finishFirst();
    }, 2 * MAX_BOTH_MS);
    expect(await asked).toMatchObject(WHOLE);
  });

  // Guards against targets that are taken for silent as this process stood still, and streams that all leave at once.
  it('asks no other target after this process stood still', async () => {
    await begin(2, goOn);
    blockLoop(SILENCE_MS);
    await until(() => !bed.isCatchingUp);
    sendOne();
    finishFirst();
    expect(await asked).toMatchObject(WHOLE);
    expect(arrivedAtOthers()).toBe(0);
  });

  // Guards against a stream whose target is lost without a word, and that waits for it.
  it('leaves a silent target for one that takes it', async () => {
    await begin(2, (request, response, body) => {
      setTimeout(goOn, 50, request, response, body);
    });
    expect(await asked).toMatchObject(WHOLE);
    await until(() => isFirstClosed);
  });

  // Guards against events that come twice, or in another order, while two targets send them.
  it('gets each event once when its first target goes on while the next one begins', async () => {
    await begin(2, (request, response, body) => {
      setTimeout(goOn, 100, request, response, body);
    });
    await pauseFirst();
    sendOne();
    await until(() => arrivedAtOthers() === 1);
    begun.write(text(3, 3));
    expect(await asked).toMatchObject(WHOLE);
  });

  // Guards against two targets that work on one stream for longer than the retry that it is.
  it('ends at its first target as soon as the next one has begun', async () => {
    let goesOnAt = 0;
    await begin(2, (request, response, body) => {
      setTimeout(() => {
        goesOnAt = performance.now();
        goOn(request, response, body);
      }, 100);
    });
    await pauseFirst();
    sendOne();
    await until(() => isFirstClosed);
    expect(goesOnAt).toBeGreaterThan(0);
    expect(performance.now() - goesOnAt).toBeLessThan(MAX_BOTH_MS);
    expect(await asked).toMatchObject(WHOLE);
  });

  // Guards against a target that works on a stream which goes on at another one.
  it('ends at a next target that does not begin in time', async () => {
    let isNextClosed = false;
    await begin(2, (request) => {
      request.socket.on('close', () => (isNextClosed = true));
    });
    await pauseFirst();
    sendOne();
    await until(() => arrivedAtOthers() === 1);
    const sentAt = performance.now();
    await until(() => isNextClosed);
    expect(performance.now() - sentAt).toBeLessThan(MAX_BOTH_MS);
    finishFirst();
    expect(await asked).toMatchObject(WHOLE);
  });

  // Guards against a run for a caller that left while its stream was between two targets.
  it('ends at both targets when its caller leaves', async () => {
    const left = new AbortController();
    let isNextClosed = false;
    bed = await RelayBed.start([routeTo(stream)], 2);
    isFirstClosed = false;
    for (const target of bed.targets) {
      target.script = (request, response, body) => {
        const isFirst = bed.arrivalCount() === 1;
        if (isFirst) first = target;
        request.socket.on('close', () => {
          if (isFirst) isFirstClosed = true;
          else isNextClosed = true;
        });
        if (isFirst) events(0, 1, (opened) => (begun = opened))(request, response, body);
      };
    }
    let seen = '';
    const leaving = ask(bed.url, { signal: left.signal, onData: (part) => (seen = part) });
    await until(() => seen === text(0, 1));
    await pauseFirst();
    sendOne();
    await until(() => arrivedAtOthers() === 1);
    left.abort();
    await leaving.catch(() => undefined);
    await until(() => isFirstClosed && isNextClosed);
  });

  // Guards against a stream that is lost when its target fails while the next one is asked already.
  it('goes on at the next target when its first one is lost meanwhile', async () => {
    await begin(2, (request, response, body) => {
      setTimeout(goOn, 100, request, response, body);
    });
    await pauseFirst();
    sendOne();
    await until(() => arrivedAtOthers() === 1);
    begun.socket?.resetAndDestroy();
    expect(await asked).toMatchObject(WHOLE);
    expect(arrivedAtOthers()).toBe(1);
  });

  // Guards against the loss of a stream whose target is silent for good and whose next one takes its time.
  it('leaves a silent target for one that begins late', async () => {
    await begin(2, (request, response, body) => {
      setTimeout(goOn, SILENCE_MS, request, response, body);
    });
    expect(await asked).toMatchObject(WHOLE);
  });
});
