import type { EventKind, Log } from '@jasmineroute/core';
import type { stateMessage } from '@jasmineroute/protocol';
import { hashKey } from '@jasmineroute/document';
import fc from 'fast-check';
import { beforeEach, describe, expect, it } from 'vitest';
import { controlEvents } from '../events.js';
import { applyOne, modelText } from '../fixture/index.js';
import type { CommandFields } from '../log/index.js';
import { createState } from '../role/index.js';
import type { StateParts } from '../role/index.js';
import { MAX_APPLY_IDS } from './appliedIds.js';
import { MAX_STORED_TEXTS, MAX_OLDER_TEXT_BYTES, MAX_VERSIONS } from './documentRecord.js';
import { DocumentView } from './documentView.js';

const ALICE = hashKey('alice');

describe('document state', () => {
  let state: StateParts;
  let count: number;

  beforeEach(() => {
    state = createState();
    count = 0;
  });

  const apply = (change: CommandFields<'apply'>): stateMessage.ApplyOutcome['outcome'] => {
    count += 1;
    const value = {
      service: 'pool',
      text: `text ${count}`,
      applyId: `id-${count}`,
      keyHash: ALICE,
      operator: 'alice',
      acceptedAtMs: BigInt(1_000 + count),
      operatorHashes: [ALICE],
      sharedHash: Uint8Array.of(1),
      checkedRevision: state.documents.revision(),
      ...change,
    };
    return (applyOne(state.machine, { case: 'apply', value }) as stateMessage.ApplyOutcome).outcome;
  };

  it('lets exactly one of two operators replace a version', () => {
    // Guards against an accepted change that a colleague's overwrites: both operators read version 1 and apply a change
    // based on it, and the second change's base version is not compared with the newest version.
    apply({});
    expect(apply({ baseVersion: 1n, operator: 'bob' }).case).toBe('accepted');
    expect(apply({ baseVersion: 1n, operator: 'carol' })).toMatchObject({
      case: 'conflict',
      value: { version: 2n, operator: 'bob', acceptedAtMs: 1_002n },
    });
    expect(state.documents.versions('pool')[0]).toMatchObject({ version: 2n, operator: 'bob' });
  });

  it('gives a resend the first outcome', () => {
    // Guards against an accepted change that is reported as a conflict: its answer is lost, the same request arrives
    // again, also after further changes, and is treated as a new change with an old base version.
    const change = { baseVersion: 0n, applyId: 'again', text: 'one' };
    const first = apply(change);
    apply({ baseVersion: 1n });
    expect(apply(change)).toEqual(first);
    expect(state.documents.revision()).toBe(2n);
  });

  it('gives the resend of a conflict the first outcome', () => {
    // Guards against a change that is refused and later accepted: the answer of a conflict is lost, the same request
    // arrives again when its base version has become the newest, and only accepted outcomes are remembered.
    const change = { baseVersion: 1n, applyId: 'early', text: 'one' };
    const first = apply(change);
    expect(first.case).toBe('conflict');
    apply({});
    expect(apply(change)).toEqual(first);
  });

  it('refuses an apply id that comes with another change', () => {
    apply({ applyId: 'same', text: 'one' });
    const second = apply({ applyId: 'same', text: 'two', baseVersion: 1n });
    expect(second).toMatchObject({ case: 'rejected', value: { kind: 'key-reused' } });
  });

  it('lets only operators of the accepted version apply', () => {
    // Guards against a takeover of a team's document: a caller without its key applies a version that lists the caller's
    // own key, and the operators of the new version are checked instead of those of the accepted one.
    apply({});
    const otherKey = hashKey('mallory');
    const taken = apply({ baseVersion: 1n, keyHash: otherKey, operatorHashes: [otherKey] });
    expect(taken).toMatchObject({ case: 'rejected', value: { kind: 'not-owner' } });
    const first = apply({ service: 'new', keyHash: otherKey, operatorHashes: [ALICE] });
    expect(first).toMatchObject({ case: 'rejected', value: { kind: 'not-owner' } });
  });

  it('requires a new check when models or routes changed since the last one', () => {
    // Guards against two services that offer the same model: both changes are checked while neither is accepted, then
    // both are proposed, and the second is accepted on an outdated check.
    const first = apply({ service: 'a', checkedRevision: 0n });
    expect(first.case).toBe('accepted');
    expect(apply({ service: 'b', checkedRevision: 0n, applyId: 'b' })).toEqual({
      case: 'staleRevision',
      value: 1n,
    });
    expect(apply({ service: 'b', checkedRevision: 1n, applyId: 'b' }).case).toBe('accepted');
  });

  it('requires no new check when no unique value changed', () => {
    apply({ service: 'a' });
    apply({ service: 'b' });
    expect(apply({ service: 'a', baseVersion: 1n, checkedRevision: 0n }).case).toBe('accepted');
  });

  it('keeps a bounded history', () => {
    for (let version = 0; version < MAX_VERSIONS + 5; version += 1) apply({ baseVersion: BigInt(version) });
    const versions = state.documents.versions('pool');
    expect(versions).toHaveLength(MAX_VERSIONS);
    expect(versions.filter(({ text }) => text !== '')).toHaveLength(MAX_STORED_TEXTS);
    expect(versions[0]?.version).toBe(BigInt(MAX_VERSIONS + 5));
  });

  it('keeps a bounded number of bytes of older texts, and always the newest text', () => {
    const text = 'x'.repeat(MAX_OLDER_TEXT_BYTES / 2);
    for (let version = 0n; version < 5n; version += 1n) apply({ baseVersion: version, text });
    const kept = state.documents.versions('pool').map((version) => version.text !== '');
    expect(kept).toEqual([true, true, true, false, false]);
  });

  it('keeps the last readable version in force when a newer one cannot be read', () => {
    // Guards against a model that is given to a second service during a rolling upgrade: an operator uses a field of the
    // newer release, and an instance of the older one treats the document that it can't read as absent.
    const events: EventKind[] = [];
    const log: Log = { event: (kind) => events.push(kind), with: () => log };
    const view = new DocumentView(state.documents, log);
    apply({ text: modelText({ models: ['m'] }) });
    expect(view.find('pool')).toMatchObject({ models: [{ name: 'm' }] });
    apply({ baseVersion: 1n, text: 'kind: newer' });
    expect(view.find('pool')).toMatchObject({ models: [{ name: 'm' }] });
    expect(view.all().size).toBe(1);
    expect(events).toEqual([controlEvents.unreadableDocument]);
  });

  it('keeps a bounded number of apply ids, the newest', () => {
    const change = { applyId: 'first', text: 'first' };
    const first = apply(change);
    for (let id = 1; id < MAX_APPLY_IDS; id += 1) apply({ applyId: `x-${id}` });
    expect(apply(change)).toEqual(first);
    apply({ applyId: 'one-more' });
    expect(apply(change).case).toBe('conflict');
  });

  it('does not let callers without a valid key evict outcomes of operators', () => {
    // Guards against an accepted change that is reported as a conflict: its answer is lost, a caller without a valid key
    // sends many changes, the operator resends, and the rejections have evicted the operator's outcome.
    const change = { applyId: 'mine', text: 'mine' };
    const first = apply(change);
    const keyHash = hashKey('mallory');
    for (let id = 0; id <= MAX_APPLY_IDS; id += 1) apply({ applyId: `x-${id}`, keyHash });
    expect(apply(change)).toEqual(first);
  });

  it('accepts one change for each version, for any order and any resends', () => {
    // Guards against two accepted changes with the same version number, and against gaps between the numbers, for any
    // interleaving of changes on any base versions, some of them sent twice.
    const change = fc.record({ base: fc.integer({ min: 0, max: 6 }), resend: fc.boolean() });
    fc.assert(
      fc.property(fc.array(change, { maxLength: 60, size: 'max' }), (changes) => {
        state = createState();
        const accepted: bigint[] = [];
        for (const { base, resend } of changes) {
          const id = { applyId: `id-${count}-${base}`, text: String(count), baseVersion: BigInt(base) };
          const outcome = apply(id);
          if (resend) expect(apply(id)).toEqual(outcome);
          if (outcome.case === 'accepted') accepted.push(outcome.value.version);
          else
            expect(outcome).toMatchObject({ case: 'conflict', value: { version: BigInt(accepted.length) } });
        }
        expect(accepted).toEqual(accepted.map((_, index) => BigInt(index + 1)));
        expect(state.documents.revision()).toBe(BigInt(accepted.length));
      }),
    );
  });
});
