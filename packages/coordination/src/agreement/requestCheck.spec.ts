import { create } from '@bufbuild/protobuf';
import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import {
  AppendRequestSchema,
  EntryKind,
  InstallRequestSchema,
  JoinRequestSchema,
  ProposeRequestSchema,
  VoteRequestSchema,
} from '../gen/agreement/agreement_pb.js';
import { configurationOf, voter } from './configuration.js';
import { requestChecks } from './requestCheck.js';

const member = voter('a', 'a:1', 'replica-a');
const configuration = configurationOf('cluster', [member], []);
const sender = { clusterId: 'cluster', replicaId: 'replica-a', term: 7n };
const last = { lastIndex: 7n, lastTerm: 7n };
const place = { index: 8n, term: 7n };
const change = { ...place, kind: EntryKind.CONFIGURATION, configuration };

const vote = { ...sender, ...last, candidate: 'a' };
const install = { ...sender, ...last, leader: 'a', configuration };
const append = { ...sender, leader: 'a', previousIndex: 7n, previousTerm: 7n, entries: [change] };

const isVote = (init: object): boolean => requestChecks.vote(create(VoteRequestSchema, init));
const isAppend = (init: object): boolean => requestChecks.append(create(AppendRequestSchema, init));
const isInstall = (init: object): boolean => requestChecks.install(create(InstallRequestSchema, init));

/** Variants of a request that each lack one field. */
const without = (init: object): object[] =>
  Object.keys(init).map((field) => ({ ...init, [field]: undefined }));

describe('requests between replicas', () => {
  it('are accepted when they are complete', () => {
    expect([isVote(vote), isAppend(append), isInstall(install)]).toEqual([true, true, true]);
    expect(isAppend({ ...append, entries: [] })).toBe(true);
    expect(requestChecks.join(create(JoinRequestSchema, { replica: member }))).toBe(true);
    expect(requestChecks.propose(create(ProposeRequestSchema, { command: new Uint8Array(1) }))).toBe(true);
  });

  // Guards against incomplete requests that raise terms, truncate the log, or add a member that can't be reached.
  it('are rejected when a field is missing', () => {
    expect(without(vote).filter(isVote)).toEqual([]);
    expect(without(install).filter(isInstall)).toEqual([]);
    expect(without(sender).filter((part) => isAppend({ ...append, ...part }))).toEqual([]);
    expect(without(change).filter((entry) => isAppend({ ...append, entries: [entry] }))).toEqual([]);
    for (const lacking of without({ name: 'a', address: 'a:1', replicaId: 'r' })) {
      expect(requestChecks.join(create(JoinRequestSchema, { replica: lacking }))).toBe(false);
      const first = { clusterId: 'cluster', voters: [lacking] };
      expect(requestChecks.join(create(JoinRequestSchema, { replica: member, first }))).toBe(false);
    }
    expect(requestChecks.propose(create(ProposeRequestSchema))).toBe(false);
  });

  it('are rejected when their entries are not consecutive', () => {
    const indexes = fc.array(fc.bigInt({ min: 1n, max: 12n }), { minLength: 1, maxLength: 4 });
    fc.assert(
      fc.property(indexes, (drawn) => {
        const entries = drawn.map((index) => ({ index, term: 7n, kind: EntryKind.NOOP }));
        const isGapless = drawn.every((index, position) => index === 8n + BigInt(position));
        expect(isAppend({ ...append, entries })).toBe(isGapless);
      }),
    );
  });
});
