import fc from 'fast-check';
import type { MessageInitShape } from '@bufbuild/protobuf';
import { create, fromBinary, toBinary } from '@bufbuild/protobuf';
import { stateMessage } from '@jasmineroute/protocol';
import { beforeEach, describe, expect, it } from 'vitest';
import { applyOne } from '../fixture/index.js';
import { createState } from '../role/index.js';
import type { StateParts } from '../role/index.js';
import { encodeNames, encodeSharing, namesOf } from './sharing.js';

/** Customers by name: whether each is isolated. */
type Customers = Readonly<Record<string, boolean>>;

const customersOf = (customers: Customers) =>
  Object.entries(customers).map(([name, isolated]) => ({ name, keys: [`key-${name}`], isolated }));

/** What a command of this release says, as far as `held` is known to its sender. */
function commandOf(
  number: number,
  customers: Customers,
  held?: StateParts,
): MessageInitShape<typeof stateMessage.ConfigureSchema> {
  const listed = customersOf(customers);
  const content = Buffer.from(JSON.stringify({ number, routes: [], services: [], customers: listed }));
  const known = held?.configuration.sharing();
  return {
    number: BigInt(number),
    content,
    source: content,
    customers: encodeNames(namesOf(listed)),
    sharing: known && encodeSharing(known),
  };
}

/** The same command as an older release sends it. */
const oldCommandOf = (number: number, customers: Customers): ReturnType<typeof commandOf> => ({
  ...commandOf(number, customers),
  customers: undefined,
});

const apply = (
  { machine }: StateParts,
  value: MessageInitShape<typeof stateMessage.ConfigureSchema>,
): void => {
  applyOne(machine, { case: 'configure', value });
};

/** The number of the configuration that began the common salt. */
const sinceAt = ({ configuration }: StateParts): number => Number(configuration.sharing()?.since ?? 0n);

/** A snapshot as an older release writes it. */
function oldSnapshotOf({ machine }: StateParts): Uint8Array {
  const snapshot = fromBinary(stateMessage.StateSnapshotSchema, machine.snapshot());
  for (const feature of snapshot.features) {
    if (feature.name !== 'configuration') continue;
    const held = fromBinary(stateMessage.ConfigurationSnapshotSchema, feature.data);
    feature.data = toBinary(stateMessage.ConfigurationSnapshotSchema, { ...held, sharing: undefined });
  }
  return toBinary(stateMessage.StateSnapshotSchema, snapshot);
}

describe('the common salt', () => {
  let state: StateParts;

  beforeEach(() => {
    state = createState();
  });

  /** Applies configurations with the numbers 1, 2 and so on. @returns what began the common salt, after each. */
  const sincesOf = (...configurations: readonly Customers[]): number[] =>
    configurations.map((customers, at) => {
      apply(state, commandOf(at + 1, customers, state));
      return sinceAt(state);
    });

  // Guards against a customer's parts that others go on to use once it is isolated: they stay under the salt that it shared.
  it.each<[string, readonly Customers[], readonly number[]]>([
    [
      'a customer that has shared is isolated',
      [
        { a: false, b: false },
        { a: true, b: false },
      ],
      [0, 2],
    ],
    ['it was removed in between', [{ a: false, b: false }, { b: false }, { a: true, b: false }], [0, 0, 3]],
    [
      'it is isolated, shares and is isolated again',
      [
        { a: true, b: false },
        { a: false, b: false },
        { a: true, b: false },
      ],
      [0, 0, 3],
    ],
    [
      'it shares again, and then another one is isolated in its place',
      [
        { a: false, b: false },
        { a: true, b: false },
        { a: false, b: false },
        { a: false, b: true },
      ],
      [0, 2, 2, 4],
    ],
  ])('is a new one when %s', (_name, configurations, sinces) => {
    expect(sincesOf(...configurations)).toEqual(sinces);
  });

  // Guards against parts of all customers that are read again for a change which nobody's parts are affected by.
  it.each<[string, readonly Customers[]]>([
    ['a customer comes that is isolated', [{ b: false }, { a: true, b: false }]],
    [
      'one that was always isolated goes and comes again',
      [{ a: true, b: false }, { b: false }, { a: true, b: false }],
    ],
    ['one that shares goes and comes again', [{ a: false, b: false }, { b: false }, { a: false, b: false }]],
    [
      'one that was isolated shares',
      [
        { a: true, b: false },
        { a: false, b: false },
      ],
    ],
    ['it has been isolated before', [{ a: true }, { a: true, b: false }, { a: true, b: false }]],
  ])('stays the same when %s', (_name, configurations) => {
    expect(sincesOf(...configurations).every((since) => since === 0)).toBe(true);
  });

  // Guards against a customer that is isolated under one key and shares under another one.
  it('is not shared by a customer that is isolated under one of two keys', () => {
    const twice = [
      { name: 'a', isolated: false },
      { name: 'a', isolated: true },
    ];
    expect(namesOf(twice)).toEqual({ shared: [], isolated: ['a'] });
  });

  it('is the same after a configuration with an older number, which is in force nowhere', () => {
    expect(sincesOf({ a: false }, { a: false }, { a: false })).toEqual([0, 0, 0]);
    apply(state, commandOf(2, { a: true }, state));
    expect(sinceAt(state)).toBe(0);
  });

  // Guards against instances that tell entries of different salts, as one of them was restored.
  it('is kept in snapshots, with those who share under it', () => {
    sincesOf({ a: false, b: false }, { a: true, b: false }, { b: false, c: false });
    const other = createState();
    other.machine.restore(state.machine.snapshot());
    expect(other.machine.snapshot()).toEqual(state.machine.snapshot());
    for (const one of [state, other]) apply(one, commandOf(4, { c: true }, state));
    expect([sinceAt(state), sinceAt(other)]).toEqual([4, 4]);
  });

  describe('while instances of two releases are there', () => {
    // Guards against instances that diverge, as each was restored from a snapshot of the older release at another position.
    it('is the same at instances that hold snapshots of the older release at different positions', () => {
      const early = createState();
      const late = createState();
      const old = [oldCommandOf(1, { a: false, b: false }), oldCommandOf(2, { b: false })];
      for (const command of old) apply(late, command);
      const early1 = old[0];
      if (early1 !== undefined) apply(early, early1);
      early.machine.restore(oldSnapshotOf(early));
      late.machine.restore(oldSnapshotOf(late));
      for (const command of old.slice(1)) apply(early, command);
      expect(early.configuration.sharing()).toEqual(late.configuration.sharing());
      for (const [number, customers] of [
        [3, { b: false, c: false }],
        [4, { a: true, b: true, c: false }],
      ] as const) {
        const command = commandOf(number, customers, late);
        for (const one of [early, late]) apply(one, command);
        expect(early.machine.snapshot()).toEqual(late.machine.snapshot());
      }
      expect(sinceAt(early)).toBe(4);
    });

    it('is that of the first configuration, with those who share by it, after an update', () => {
      apply(state, oldCommandOf(1, { a: false, b: false }));
      expect(sinceAt(state)).toBe(0);
      apply(state, commandOf(2, { a: false, b: false }, state));
      expect(sinceAt(state)).toBe(0);
      apply(state, commandOf(3, { a: true, b: false }, state));
      expect(sinceAt(state)).toBe(3);
    });

    // Guards against a configuration that is missed, as an instance of the older release was asked to replace it.
    it('follows configurations that an instance of the older release has sent', () => {
      sincesOf({ a: false, b: false });
      apply(state, oldCommandOf(2, { a: true, b: false }));
      expect(sinceAt(state)).toBe(2);
    });

    // Guards against an old salt that comes back, as a snapshot of the older release has left out that it was replaced.
    it('is known again from the next configuration on where a snapshot of the older release was restored', () => {
      sincesOf({ a: false, b: false }, { a: true, b: false });
      const restored = createState();
      restored.machine.restore(oldSnapshotOf(state));
      const command = commandOf(3, { a: true, b: false, c: false }, state);
      for (const one of [state, restored]) apply(one, command);
      expect(sinceAt(restored)).toBe(2);
      expect(restored.machine.snapshot()).toEqual(state.machine.snapshot());
    });

    it('is not mended by a sender that knows less', () => {
      const stale = createState();
      sincesOf({ a: false, b: false }, { a: true, b: false });
      apply(stale, commandOf(1, { a: false, b: false }));
      apply(state, commandOf(3, { a: true, b: false }, stale));
      expect(sinceAt(state)).toBe(2);
    });
  });

  // Guards against a history in which an isolated customer's parts are under the salt that others use.
  it('holds no parts of a customer that is isolated, after any configurations', () => {
    const customers = fc.dictionary(fc.constantFrom('a', 'b', 'c', 'd'), fc.boolean());
    const histories = fc.array(
      fc.record({ customers, step: fc.integer({ min: -1, max: 3 }), isRestored: fc.boolean() }),
    );
    fc.assert(
      fc.property(histories, (history) => {
        let replica = createState();
        let number = 1;
        const written = new Map<number, Set<string>>();
        for (const { customers: sent, step, isRestored } of history) {
          number = Math.max(1, number + step);
          const isStored = number > Number(replica.configuration.held().number);
          apply(replica, commandOf(number, sent, replica));
          if (isRestored) {
            const other = createState();
            other.machine.restore(replica.machine.snapshot());
            replica = other;
          }
          if (!isStored) continue;
          const since = sinceAt(replica);
          const sharers = written.get(since) ?? new Set();
          written.set(since, sharers);
          for (const [name, isolated] of Object.entries(sent)) if (!isolated) sharers.add(name);
          for (const [name, isolated] of Object.entries(sent))
            if (isolated) expect(sharers.has(name)).toBe(false);
        }
      }),
      { numRuns: 300 },
    );
  });

  it('is written in the same way whatever the order of customers', () => {
    const sharing = { since: 1n, customers: new Set(['b', 'a']) };
    expect(encodeSharing(sharing)).toEqual(
      create(stateMessage.SharingSchema, { since: 1n, customers: ['a', 'b'] }),
    );
  });
});
