import { create } from '@bufbuild/protobuf';
import type { MessageInitShape } from '@bufbuild/protobuf';
import { describe, expect, it } from 'vitest';
import { CrashEvidenceSchema } from '../gen/jasmineroute/control_pb.js';
import type { CrashEvidence } from '../gen/jasmineroute/control_pb.js';
import { EvidenceTable } from './evidenceTable.js';
import { partFingerprint, requestFingerprint } from './fingerprint.js';
import { togetherPair } from './moments.js';
import { standingOf, verdictOf } from './verdict.js';

const REQUEST = requestFingerprint('c', '/x', new Uint8Array());

const evidenceOf = (
  part: string,
  crashed: string[],
  change: MessageInitShape<typeof CrashEvidenceSchema> = {},
): CrashEvidence =>
  create(CrashEvidenceSchema, { request: partFingerprint(part), part, customer: 'c', crashed, ...change });

function tableOf(...evidence: CrashEvidence[]): EvidenceTable {
  const table = new EvidenceTable(100);
  for (const one of evidence) table.merge(one);
  return table;
}

const verdictOn = (table: EvidenceTable, ...parts: string[]): string =>
  standingOf(
    table,
    () => REQUEST,
    () => parts.map(partFingerprint),
  ).verdict;

describe('the verdict on prompt parts', () => {
  it('holds a part after three crashes, not after two', () => {
    expect(verdictOn(tableOf(evidenceOf('p', ['1', '2'])), 'p')).toBe('allowed');
    expect(verdictOn(tableOf(evidenceOf('p', ['1', '2', '3'])), 'f', 'p')).toBe('doubtful');
  });

  // Guards against parts beside the cause that are held with it.
  it('holds the part that was at all crashes, not those that were at some of them', () => {
    const table = tableOf(evidenceOf('p', ['1', '2', '3', '4']), evidenceOf('q', ['1', '2', '3']));
    expect(verdictOn(table, 'q')).toBe('allowed');
    expect(verdictOn(table, 'p', 'q')).toBe('doubtful');
  });

  // Guards against a second part that crashes targets and is taken to be beside the first one.
  it('holds a part with crashes that no other one explains', () => {
    const table = tableOf(evidenceOf('p', ['1', '2', '3', '4']), evidenceOf('q', ['4', '5', '6', '7']));
    expect(verdictOn(table, 'p')).toBe('doubtful');
    expect(verdictOn(table, 'q')).toBe('doubtful');
  });

  // Guards against a part that is sent on because another one beside its first crashes was suspected of them.
  it('holds a part with many crashes for a single one that no other part explains', () => {
    const table = tableOf(
      evidenceOf('p', ['1', '2', '3', '4', '5']),
      evidenceOf('q', ['1', '2', '3', '4', '6']),
    );
    expect(verdictOn(table, 'p')).toBe('doubtful');
    expect(verdictOn(table, 'q')).toBe('doubtful');
  });

  // Guards against parts of all requests that are held because several targets lost power at once.
  it('counts targets that ended at the same moment as one crash', () => {
    const together = [togetherPair('1', '2'), togetherPair('2', '3')];
    expect(verdictOn(tableOf(evidenceOf('f', ['1', '2', '3'], { together })), 'f')).toBe('allowed');
    const more = evidenceOf('f', ['1', '2', '3', '4', '5'], { together });
    expect(verdictOn(tableOf(more), 'f')).toBe('doubtful');
  });

  it('holds a part for good after three trials', () => {
    const table = tableOf(evidenceOf('p', ['1', '2', '3'], { sent: ['x', 'y', 'z'] }));
    expect(verdictOn(table, 'p')).toBe('quarantined');
  });

  // Guards against whole requests that are refused as they ran beside a part which explains all their crashes.
  it('lets a request whose crashes a held part explains be sent, unless it has the part', () => {
    const request = create(CrashEvidenceSchema, {
      request: REQUEST,
      customer: 'c',
      crashed: ['1', '2', '3'],
    });
    const part = evidenceOf('p', ['1', '2', '3', '4'], { sent: ['x', 'y', 'z'] });
    expect(verdictOf(tableOf(request), REQUEST)).toBe('quarantined');
    expect(verdictOn(tableOf(request, part), 'f')).toBe('suspect');
    expect(verdictOn(tableOf(request, part), 'p')).toBe('quarantined');
  });

  // Guards against a part that is unknown because requests, or parts of a customer who sends new ones all the time, displaced it.
  it('is not displaced by requests, nor by other parts of fewer crashes', () => {
    const table = tableOf(evidenceOf('p', ['1', '2', '3']));
    for (let n = 0; n < 300; n += 1) {
      const request = requestFingerprint('c', String(n), new Uint8Array());
      table.merge(create(CrashEvidenceSchema, { request, customer: 'c', crashed: ['1'] }));
      table.merge(evidenceOf(`flood${n}`, ['1', '2'], { customer: 'flood' }));
    }
    expect(table.size).toBe(200);
    expect(verdictOn(table, 'p')).toBe('doubtful');
  });

  it('knows a part of which a control instance of an earlier release passed evidence on without its id', () => {
    const table = tableOf(evidenceOf('p', ['1', '2', '3'], { part: '' }), evidenceOf('p', ['1']));
    expect(verdictOn(table, 'p')).toBe('doubtful');
  });
});
