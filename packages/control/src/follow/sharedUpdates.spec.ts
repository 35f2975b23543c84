import { create, fromBinary } from '@bufbuild/protobuf';
import { controlMessage } from '@jasmineroute/protocol';
import { beforeEach, describe, expect, it } from 'vitest';
import { SharedUpdates } from './sharedUpdates.js';
import type { UpdateSource } from './sharedUpdates.js';

/** More updates than are retained. */
const MANY = 40;

describe('shared updates', () => {
  /** Reported loads, in order. */
  let loads: string[];
  /** How often the source was read. */
  let reads: number;
  let updates: SharedUpdates;
  let version: number;

  beforeEach(() => {
    loads = [];
    reads = 0;
    version = 0;
    let position = 0;
    const source: UpdateSource = {
      fields: (whole) => {
        reads += 1;
        const reported = loads.slice(whole ? 0 : position);
        position = loads.length;
        return { loads: reported.map((targetId) => create(controlMessage.TargetLoadSchema, { targetId })) };
      },
    };
    updates = new SharedUpdates(source);
  });

  const report = (...targets: string[]): void => {
    loads.push(...targets);
    version += 1;
  };

  /** Applies the updates after `received` to what a follower holds. @returns what it holds then, and the last update. */
  function follow(
    held: readonly string[],
    received: number | undefined,
  ): { held: string[]; received: number } {
    const { shared, number } = updates.since(received, version);
    const events = shared.map((bytes) => fromBinary(controlMessage.FollowEventSchema, bytes));
    const ids = events.reduce<readonly string[]>(
      (before, event) => [...(event.whole ? [] : before), ...event.loads.map(({ targetId }) => targetId)],
      held,
    );
    return { held: [...ids], received: number };
  }

  // Guards against a control instance that encodes the same update for each follower and has no time left for its log.
  it('read the source once, however many followers lack the update', () => {
    report('a');
    const first = follow([], undefined);
    const before = reads;
    const others = Array.from({ length: MANY }, () => follow([], undefined));
    expect(reads).toBe(before);
    report('b');
    for (const one of [first, ...others]) expect(follow(one.held, one.received).held).toEqual(['a', 'b']);
    expect(reads).toBe(before + 1);
  });

  it('give a new follower the full state, and the others what has changed', () => {
    report('a');
    const first = follow([], undefined);
    report('b');
    const second = follow([], undefined);
    expect(second.held).toEqual(['a', 'b']);
    expect(follow(first.held, first.received).held).toEqual(['a', 'b']);
    expect(follow(second.held, second.received)).toEqual(second);
  });

  it('leave out nothing that changes between two versions', () => {
    report('a');
    const first = follow([], undefined);
    loads.push('b');
    const second = follow([], undefined);
    report('c');
    expect(follow(first.held, first.received).held).toEqual(['a', 'b', 'c']);
    expect(follow(second.held, second.received).held).toEqual(['a', 'b', 'c']);
  });

  it('give the full state to a follower that lags far behind', () => {
    report('a');
    const lagging = follow([], undefined);
    let other = lagging;
    for (let round = 0; round < MANY; round += 1) {
      report(`b${round}`);
      other = follow(other.held, other.received);
    }
    expect(follow(lagging.held, lagging.received)).toEqual(other);
  });

  it('are empty when nothing has changed', () => {
    report('a');
    const { received } = follow([], undefined);
    version += 1;
    expect(updates.since(received, version)).toEqual({ shared: [], number: received });
  });
});
