import { create } from '@bufbuild/protobuf';
import { ManualClock } from '@jasmineroute/core';
import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { StreamOriginSchema } from '../gen/jasmineroute/control_pb.js';
import type { StreamOrigin } from '../gen/jasmineroute/control_pb.js';
import { OriginTable } from './originTable.js';
import { streamKey } from './streamKey.js';

const CAPACITY = 8;
const LIFETIME_MS = 40_000;

const keyOf = (stream: number): Uint8Array => streamKey('harbour', `q${stream}`);

const originOf = (stream: number, softwareVersion = `v${stream % 3}`): StreamOrigin =>
  create(StreamOriginSchema, {
    stream: keyOf(stream),
    service: 's',
    softwareVersion,
    lifetimeMs: LIFETIME_MS,
  });

const step = fc.oneof(
  fc.record({ kind: fc.constant('report' as const), stream: fc.nat(12) }),
  fc.record({ kind: fc.constant('wait' as const), ms: fc.nat(60_000) }),
  fc.record({ kind: fc.constant('restart' as const) }),
);

describe('the table of origins', () => {
  // Guards against a stream that goes on at another software version than the one that was recorded.
  it('never yields another version, over any order of reports, expiry, restarts and evictions', async () => {
    await fc.assert(
      fc.asyncProperty(fc.array(step, { maxLength: 60 }), async (steps) => {
        const clock = new ManualClock();
        let table = new OriginTable(clock, CAPACITY);
        let stored: StreamOrigin[] = [];
        for (const one of steps) {
          if (one.kind === 'wait') await clock.advance(one.ms);
          else if (one.kind === 'report') stored.push(...[table.record(originOf(one.stream)) ?? []].flat());
          else {
            table = new OriginTable(clock, CAPACITY);
            for (const origin of stored) table.record(origin);
            stored = table.all();
          }
          expect(table.size).toBeLessThanOrEqual(CAPACITY);
          for (let stream = 0; stream <= 12; stream += 1) {
            const found = table.find(keyOf(stream));
            expect([undefined, `v${stream % 3}`]).toContain(found?.softwareVersion);
          }
        }
      }),
    );
  });

  // Guards against a guess between two versions when reports on one stream contradict each other.
  it('knows no version of a stream that was reported with two, also after a restart', () => {
    const clock = new ManualClock();
    const table = new OriginTable(clock, CAPACITY);
    const stored = ['v1', 'v2', 'v1', 'v2'].flatMap((version) => table.record(originOf(1, version)) ?? []);
    expect(table.find(keyOf(1))).toBeUndefined();
    const restarted = new OriginTable(clock, CAPACITY);
    for (const origin of stored.reverse()) restarted.record(origin);
    expect(restarted.find(keyOf(1))).toBeUndefined();
  });

  it('keeps an origin for its lifetime at least, and evicts the oldest', async () => {
    const clock = new ManualClock();
    const table = new OriginTable(clock, CAPACITY);
    table.record(originOf(1));
    await clock.advance(LIFETIME_MS - 1);
    table.record(originOf(2));
    expect(table.find(keyOf(1))?.softwareVersion).toBe('v1');
    for (let stream = 3; stream < 20; stream += 1) table.record(originOf(stream));
    expect(table.find(keyOf(1))).toBeUndefined();
    expect(table.find(keyOf(19))?.softwareVersion).toBe('v1');
  });

  it('distinguishes the same request id of two customers', () => {
    expect(streamKey('harbour', 'q1')).not.toEqual(streamKey('museum', 'q1'));
  });
});
