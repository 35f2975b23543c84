import { request as send } from 'node:http';
import { once } from 'node:events';
import type { ClientRequest } from 'node:http';
import { systemClock } from '@jasmineroute/core';
import type { Connections } from '@jasmineroute/engine';
import { ok } from 'neverthrow';
import { afterEach, describe, expect, it } from 'vitest';
import { PackedFields } from '../dialect/index.js';
import { RelayBed, answered, routeTo, until } from '../testing/bed.js';
import { testDialect } from '../testing/dialect.js';
import type { Script } from '../testing/bed.js';
import { ask, events, stream } from '../testing/caller.js';
import { send as sendTo } from './attempt.js';

/** One connection to each target for this entry. */
const SERVICES = [{ name: 's', maxConnections: 2 }];

const customersOf = (isHarbourIsolated: boolean) => [
  { name: 'harbour', keys: ['key-harbour'], isolated: isHarbourIsolated },
  { name: 'museum', keys: ['key-museum'], isolated: false },
];

const isolatingHarbour = { services: SERVICES, customers: customersOf(true) };
const naming = { services: SERVICES, customers: customersOf(false) };
const withoutHarbour = { services: SERVICES, customers: customersOf(false).slice(1) };

/** Number of the configuration that changes the customers. */
const CHANGED = 2;

const fieldsOf = (customer: string): Record<string, string> => ({
  't-prompt': 'a,b',
  't-key': `key-${customer}`,
});

describe('a request that was admitted before its customer was isolated, and is sent after that', () => {
  let bed: RelayBed;
  let held: (() => void)[] = [];

  afterEach(async () => {
    for (const answer of held.splice(0)) answer();
    await bed.stop();
  });

  const hold: Script = (...exchange) => {
    held.push(() => {
      answered()(...exchange);
    });
  };

  const routes = [routeTo({ kind: 'idempotent', hasPrompt: true, open: false, maxAttempts: 2 })];

  const start = async (targets = 1): Promise<void> => {
    bed = await RelayBed.start(routes, targets, naming);
    held = [];
  };

  const changeTo = async (change: typeof naming): Promise<void> => {
    bed.configure(routes, change, CHANGED);
    await until(() => bed.configured === CHANGED);
  };

  /** Salts of all requests that reached targets, by the customer that the targets were told. */
  const saltsOf = (customer: string): unknown[] =>
    bed.targets.flatMap(({ requests }) =>
      requests
        .filter(({ headers }) => headers['t-customer'] === customer)
        .map(({ headers }) => headers['t-salt']),
    );

  const expectOwnSalt = async (asked: Promise<unknown>): Promise<void> => {
    await asked;
    await ask(bed.url, { headers: fieldsOf('museum') });
    expect(saltsOf('harbour').at(-1)).toBe('customer-harbour weights-1');
    expect(saltsOf('museum').at(-1)).toBe(`shared-${CHANGED} weights-1`);
  };

  /** Sends a head whose body comes later. */
  function upload(): ClientRequest {
    const headers = { host: 'a.example', 't-id': 'slow', 'content-length': '8', ...fieldsOf('harbour') };
    const sent = send(`${bed.url}/x`, { method: 'POST', headers });
    sent.flushHeaders();
    return sent;
  }

  // Guards against parts of an isolated customer under the new common salt, where everybody's later requests use them.
  it('has the salt of its customer alone: a slow upload', async () => {
    await start();
    const sent = upload();
    await until(() => bed.open === 1);
    await changeTo(isolatingHarbour);
    const answer = once(sent, 'response');
    sent.end('question');
    await expectOwnSalt(answer);
  });

  it('has the salt of its customer alone: a wait for a connection to the target', async () => {
    await start();
    bed.target(1).script = hold;
    const first = ask(bed.url, { headers: fieldsOf('museum') });
    await until(() => bed.arrivalCount() === 1);
    const asked = ask(bed.url, { headers: fieldsOf('harbour') });
    await until(() => bed.open === 2);
    await changeTo(isolatingHarbour);
    bed.target(1).script = answered();
    for (const answer of held.splice(0)) answer();
    await first;
    await expectOwnSalt(asked);
  });

  it('has the salt of its customer alone: a retry', async () => {
    await start(2);
    for (const target of bed.targets) target.script = hold;
    const asked = ask(bed.url, { headers: fieldsOf('harbour') });
    await until(() => bed.arrivalCount() === 1);
    await changeTo(isolatingHarbour);
    for (const target of bed.targets) target.script = answered();
    for (const { sockets, requests } of bed.targets)
      if (requests.length > 0) for (const socket of sockets) socket.resetAndDestroy();
    await expectOwnSalt(asked);
    expect(saltsOf('harbour')).toEqual(['weights-1', 'customer-harbour weights-1']);
  });

  it('has the salt of its customer alone: a stream that another target takes over', async () => {
    const streams = [routeTo({ ...stream, open: false })];
    bed = await RelayBed.start(streams, 2, naming);
    for (const target of bed.targets)
      target.script = events(0, 1, (response) => held.push(() => response.end()));
    let seen = '';
    const asked = ask(bed.url, { headers: fieldsOf('harbour'), onData: (text) => (seen = text) });
    await until(() => seen.includes('id: 1'));
    bed.configure(streams, isolatingHarbour, CHANGED);
    await until(() => bed.configured === CHANGED);
    const begun = bed.targets.find(({ requests }) => requests.length > 0);
    for (const target of bed.targets) target.script = events(2, 3, (response) => response.end());
    for (const socket of begun?.sockets ?? []) socket.resetAndDestroy();
    await asked;
    expect(saltsOf('harbour')).toEqual(['weights-1', 'customer-harbour weights-1']);
  });

  // Guards against parts under a common salt of which nobody knows whose they are: a later configuration may isolate the customer.
  it('has the salt of its customer alone: the configuration does not name that any more', async () => {
    await start();
    const sent = upload();
    await until(() => bed.open === 1);
    await changeTo(withoutHarbour);
    const answer = once(sent, 'response');
    sent.end('question');
    await expectOwnSalt(answer);
  });

  // Guards against a request that fails as it was formed with the salt before.
  it('is formed again when its connection opens only after the change', async () => {
    bed = await RelayBed.start(routes, 1, naming);
    const sent: string[][] = [];
    let salt = 'before';
    const pool = {
      dispatch: (options: { headers: string[] }, handler: PoolHandler) => {
        sent.push(options.headers);
        const isFirst = salt === 'before';
        salt = 'after';
        try {
          handler.onRequestStart({ abort: () => undefined });
        } catch (error) {
          handler.onResponseError({}, error as Error);
          return;
        }
        expect(isFirst).toBe(false);
        handler.onResponseStart({}, 200, { 't-id': 'q1', 't-signed': 'yes', 'content-length': '0' });
        handler.onResponseEnd();
      },
    };
    const target = { id: 't1', name: 't1', weights: new Map() };
    const context = {
      dialect: testDialect,
      pools: { poolFor: () => ({ connections: { pool: () => pool } as unknown as Connections, queue: {} }) },
      knowledge: { entries: () => 1, targets: { replaced: () => undefined } },
      monitor: { recordFailure: () => expect.unreachable(), recordActivity: () => undefined },
      clock: systemClock,
    };
    const request = { id: 'q1', method: 'GET', path: '/', host: 'a', fields: new PackedFields([]) };
    const job = {
      request,
      body: new Uint8Array(),
      service: { name: 's' },
      until: systemClock.monotonic() + 5_000,
    };
    const fields = {
      current: () => ({ deadlineMs: 5_000, targetName: 't1', cacheSalt: salt }),
      isCurrent: () => sent.at(-1)?.includes(salt) === true,
    };
    const sending = { target, waitForConnection: () => Promise.resolve(ok()), check: () => undefined };
    const answer = await sendTo(
      context as never,
      job as never,
      sending as never,
      fields,
      new AbortController().signal,
    );
    expect(answer.isOk()).toBe(true);
    expect(sent.map((headers) => headers[headers.indexOf('t-salt') + 1])).toEqual(['before', 'after']);
  });
});

/** What undici tells of a request. */
interface PoolHandler {
  onRequestStart(controller: object): void;
  onResponseStart(controller: object, status: number, headers: object): void;
  onResponseEnd(): void;
  onResponseError(controller: object, error: Error): void;
}
