import { create } from '@bufbuild/protobuf';
import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { CrashEvidenceSchema } from '../gen/jasmineroute/control_pb.js';
import type { CrashEvidence } from '../gen/jasmineroute/control_pb.js';
import { EvidenceTable, chargedSendings, chargedStarts, clearedEvidence, isHeld } from './evidenceTable.js';
import { requestFingerprint } from './fingerprint.js';
import { trialNumber } from './verdict.js';

const REQUESTS = 3;
const STARTS = ['s1', 's2', 's3', 's4', 's5'];
const SENDINGS = ['e1/1/1', 'e1/2/1', 'e2/1/1'];

const fingerprintOf = (request: number, customer = 'harbour'): Uint8Array =>
  requestFingerprint(customer, `/r/${request}`, Buffer.from('question'));

const evidenceOf = (
  request: number,
  crashed: readonly string[],
  cleared: readonly string[] = [],
  customer = 'harbour',
  sent: readonly string[] = [],
): CrashEvidence =>
  create(CrashEvidenceSchema, {
    sent: [...sent],
    request: fingerprintOf(request, customer),
    customer,
    service: 's',
    crashed: [...crashed],
    cleared: [...cleared],
  });

const anyEvidence = fc
  .record({
    request: fc.nat(REQUESTS - 1),
    crashed: fc.subarray(STARTS),
    cleared: fc.subarray([...STARTS, ...SENDINGS]),
    sent: fc.subarray(SENDINGS),
  })
  .map(({ request, crashed, cleared, sent }) => evidenceOf(request, crashed, cleared, 'harbour', sent));

/** What a table holds, without the order in which it came. */
function contentOf(table: EvidenceTable): unknown {
  const held = table.all().map((evidence) => ({
    request: Buffer.from(evidence.request).toString('hex'),
    crashed: [...evidence.crashed].sort(),
    cleared: [...evidence.cleared].sort(),
    sent: [...evidence.sent].sort(),
  }));
  return held.sort((a, b) => a.request.localeCompare(b.request));
}

function tableOf(evidence: readonly CrashEvidence[], capacity = 100): EvidenceTable {
  const table = new EvidenceTable(capacity);
  for (const one of evidence) table.merge(one);
  return table;
}

/** The evidence on the first request. */
function heldOf(table: EvidenceTable): CrashEvidence {
  return table.find(fingerprintOf(1)) ?? evidenceOf(1, []);
}

describe('evidence on requests that crash targets', () => {
  // Guards against processes that decide differently because reports reached them late, twice or in another order.
  it('is the same at all processes, in whatever order and however often it arrives', () => {
    fc.assert(
      fc.property(fc.array(anyEvidence), fc.infiniteStream(fc.nat()), (evidence, random) => {
        const numbered = [...evidence, ...evidence].map((one) => ({
          one,
          at: random.next().value as number,
        }));
        const shuffled = numbered.sort((a, b) => a.at - b.at).map(({ one }) => one);
        expect(contentOf(tableOf(shuffled))).toEqual(contentOf(tableOf(evidence)));
      }),
    );
  });

  it('puts a request in quarantine after three crashes, not after two', () => {
    const table = tableOf([evidenceOf(1, ['s1']), evidenceOf(1, ['s2'])]);
    expect(isHeld(heldOf(table))).toBe(false);
    expect(isHeld(heldOf(tableOf([...table.all(), evidenceOf(1, ['s3'])])))).toBe(true);
    expect(table.merge(evidenceOf(1, ['s2']))).toBeUndefined();
  });

  it('no longer counts crashes that are cleared', () => {
    const table = tableOf([evidenceOf(1, ['s1', 's2', 's3']), evidenceOf(1, ['s1', 's2'], ['s1', 's2'])]);
    expect(chargedStarts(heldOf(table))).toEqual(['s3']);
  });

  // Guards against a request that an operator released, or that ended well, and that is refused for its earlier trials.
  it('counts no sendings of before once it is cleared', () => {
    const sent = evidenceOf(1, ['s1'], [], 'harbour', SENDINGS);
    const table = tableOf([sent, clearedEvidence(sent), evidenceOf(1, ['s2'])]);
    expect(chargedSendings(heldOf(table))).toEqual([]);
    expect(chargedStarts(heldOf(table))).toEqual(['s2']);
  });

  // Guards against a trial that no entry may run, as the lease of an earlier one of the same number is still held.
  it('gives a trial no number again when those before no longer count', () => {
    const sent = evidenceOf(1, ['s1'], [], 'harbour', ['e1/1/1']);
    expect(trialNumber(heldOf(tableOf([sent, clearedEvidence(sent)])))).toBe(1);
  });

  it('lists what changed since a number', () => {
    const table = tableOf([evidenceOf(1, ['s1']), evidenceOf(2, ['s1'])]);
    const before = table.lastChangeNumber;
    table.merge(evidenceOf(1, ['s2']));
    expect(table.since(before).map(({ crashed }) => crashed)).toEqual([['s1', 's2']]);
    expect(table.since(table.lastChangeNumber)).toEqual([]);
  });

  // Guards against a caller whose many requests push out the evidence on a request that crashes targets.
  it('is evicted for the customer with the most requests of the fewest crashes', () => {
    const table = tableOf([evidenceOf(0, STARTS, [], 'guild'), evidenceOf(1, ['s1'], [], 'harbour')], 20);
    for (let request = 2; request < 200; request += 1) table.merge(evidenceOf(request, ['s2'], [], 'flood'));
    expect(table.size).toBe(20);
    expect(table.find(fingerprintOf(0, 'guild'))).toBeDefined();
    expect(table.find(fingerprintOf(1, 'harbour'))).toBeDefined();
  });

  it('keeps a bounded number of starts, those that count first', () => {
    const starts = Array.from({ length: 40 }, (_, at) => `old-${at}`);
    const table = tableOf([evidenceOf(1, starts, starts), evidenceOf(1, ['s1', 's2'])]);
    const held = heldOf(table);
    expect(held.crashed.length).toBeLessThanOrEqual(16);
    expect(chargedStarts(held)).toEqual(['s1', 's2']);
  });
});

describe('the fingerprint of a request', () => {
  it('differs by caller, path and body, and keeps them apart', () => {
    const parts: [string, string, string][] = [
      ['a', '/x', 'b'],
      ['a', '/x', 'c'],
      ['a', '/y', 'b'],
      ['c', '/x', 'b'],
      ['a', '/xb', ''],
      ['', 'a/x', 'b'],
    ];
    const prints = parts.map(([caller, path, body]) =>
      Buffer.from(requestFingerprint(caller, path, Buffer.from(body))).toString('hex'),
    );
    expect(new Set(prints).size).toBe(parts.length);
  });
});
