import { create, fromBinary } from '@bufbuild/protobuf';
import { controlMessage } from '@jasmineroute/protocol';
import { beforeEach, describe, expect, it } from 'vitest';
import { Bulletins } from './bulletins.js';
import type { BulletinSource } from './bulletins.js';

/** More than are kept. */
const MANY = 40;

describe('bulletins', () => {
  /** Loads that were told, in order. */
  let loads: string[];
  /** How often what there is was gathered. */
  let gathered: number;
  let bulletins: Bulletins;
  let version: number;

  beforeEach(() => {
    loads = [];
    gathered = 0;
    version = 0;
    let place = 0;
    const source: BulletinSource = {
      fields: (whole) => {
        gathered += 1;
        const told = loads.slice(whole ? 0 : place);
        place = loads.length;
        return { loads: told.map((targetId) => create(controlMessage.TargetLoadSchema, { targetId })) };
      },
    };
    bulletins = new Bulletins(source);
  });

  const tell = (...targets: string[]): void => {
    loads.push(...targets);
    version += 1;
  };

  /** What a follower that was told up to a bulletin holds then, and the bulletin. */
  function follow(held: readonly string[], told: number | undefined): { held: string[]; told: number } {
    const { shared, number } = bulletins.since(told, version);
    const events = shared.map((bytes) => fromBinary(controlMessage.FollowEventSchema, bytes));
    const ids = events.reduce<readonly string[]>(
      (before, event) => [...(event.whole ? [] : before), ...event.loads.map(({ targetId }) => targetId)],
      held,
    );
    return { held: [...ids], told: number };
  }

  // Guards against a control instance that has no time for its log, as it gathers and encodes the same for each follower.
  it('gathers what is new once, however many lack it', () => {
    tell('a');
    const first = follow([], undefined);
    const before = gathered;
    const others = Array.from({ length: MANY }, () => follow([], undefined));
    expect(gathered).toBe(before);
    tell('b');
    for (const one of [first, ...others]) expect(follow(one.held, one.told).held).toEqual(['a', 'b']);
    expect(gathered).toBe(before + 1);
  });

  it('tells one that comes everything, and those that were told what has changed', () => {
    tell('a');
    const first = follow([], undefined);
    tell('b');
    const second = follow([], undefined);
    expect(second.held).toEqual(['a', 'b']);
    expect(follow(first.held, first.told).held).toEqual(['a', 'b']);
    expect(follow(second.held, second.told)).toEqual(second);
  });

  it('leaves out nothing that changes between two rounds of news', () => {
    tell('a');
    const first = follow([], undefined);
    loads.push('b');
    const second = follow([], undefined);
    tell('c');
    expect(follow(first.held, first.told).held).toEqual(['a', 'b', 'c']);
    expect(follow(second.held, second.told).held).toEqual(['a', 'b', 'c']);
  });

  it('tells everything to one that lags far behind', () => {
    tell('a');
    const lagging = follow([], undefined);
    let other = lagging;
    for (let round = 0; round < MANY; round += 1) {
      tell(`b${round}`);
      other = follow(other.held, other.told);
    }
    expect(follow(lagging.held, lagging.told)).toEqual(other);
  });

  it('tells nothing when nothing has changed', () => {
    tell('a');
    const { told } = follow([], undefined);
    version += 1;
    expect(bulletins.since(told, version)).toEqual({ shared: [], number: told });
  });
});
