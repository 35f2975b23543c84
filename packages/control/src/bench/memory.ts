/** Memory of claims, documents and customers, at four sizes each. */
import { createHash } from 'node:crypto';
import { hashKey } from '@jasmineroute/document';
import { controlMessage } from '@jasmineroute/protocol';
import { silentLog } from '@jasmineroute/core';
import { DocumentView } from '../documents/index.js';
import { applyBatch } from '../fixture/index.js';
import type { CommandInit } from '../log/index.js';
import { createState } from '../role/index.js';
import type { StateParts } from '../role/index.js';
import { retainedBytes } from './heap.js';

const CLAIM_COUNTS = [3_000, 15_000, 75_000, 300_000];
const CUSTOMER_COUNTS = [19, 190, 950, 1_900];
const DOCUMENT_COUNTS = [5, 25, 100, 500];
/** Customers or documents in all copies of a small state together. */
const SMALLEST_TOTAL = 2_000;
const BATCH = 500;
const WINDOW_MS = 86_400_000n;

const claimNames = (n: number) => ({
  service: 'registry-desk',
  customer: `customer-${n % 8}`,
  key: `policy-${n}-7f3c2a`,
  attemptId: `att-${createHash('md5').update(String(n)).digest('hex')}`,
});

function claimCommand(n: number): CommandInit {
  const fingerprint = createHash('sha256').update(String(n)).digest();
  const request = { ...claimNames(n), agent: `agent-${n % 4}`, fingerprint, windowMs: WINDOW_MS };
  return { case: 'claim', value: { request, maxClaims: 4_000_000_000 } };
}

function settleCommand(n: number): CommandInit {
  const request = { ...claimNames(n), settlement: controlMessage.Settlement.DONE };
  return { case: 'settle', value: { request, maxAnswerBytes: 0n, maxClaims: 4_000_000_000 } };
}

function fill(state: StateParts, count: number, command: (n: number) => CommandInit): void {
  for (let start = 0; start < count; start += BATCH) {
    const size = Math.min(BATCH, count - start);
    applyBatch(
      state.machine,
      Array.from({ length: size }, (_, index) => command(start + index)),
    );
  }
}

function documentText(service: string, customers: number): string {
  const rows = Array.from(
    { length: customers },
    (_, n) => `  - { name: customer-${n}, keys: ['${hashKey(`${service}/${n}`)}'], priority: normal }`,
  );
  const owner = `owner: { team: ${service}, operators: { root: '${hashKey(service)}' } }`;
  const models = `models: [{ name: ${service}-model, version: v1 }]`;
  return ['kind: model', `service: ${service}`, owner, models, 'customers:', ...rows, ''].join('\n');
}

function documentCommand(service: string, text: string, revision: number): CommandInit {
  const key = hashKey(service);
  const ids = { service, applyId: service, checkedRevision: BigInt(revision), operator: 'root' };
  const keys = { keyHash: key, operatorHashes: [key], sharedHash: createHash('md5').update(text).digest() };
  return { case: 'apply', value: { ...ids, ...keys, text } };
}

const row = (name: string, count: number, bytes: number): string =>
  `${name.padEnd(28)}${String(count).padStart(9)}${String(bytes).padStart(13)}${(bytes / count).toFixed(1).padStart(10)}`;

async function claimRows(counts: readonly number[]): Promise<string[]> {
  const rows: string[] = [];
  for (const count of counts) {
    const state = createState();
    const open = await retainedBytes(() => {
      fill(state, count, claimCommand);
    });
    rows.push(row('open claims', count, open.bytes));
    const settled = await retainedBytes(() => {
      fill(state, count, settleCommand);
    });
    rows.push(row('settled claims', count, open.bytes + settled.bytes));
    const start = performance.now();
    const snapshot = state.machine.snapshot();
    const ms = performance.now() - start;
    rows.push(`${row('  snapshot', count, snapshot.byteLength)}  ${ms.toFixed(1)} ms`);
  }
  return rows;
}

/** Creates several equal states at once, so that the noise of the heap matters less for small ones. */
async function stateRow(name: string, count: number, make: (state: StateParts) => void): Promise<string> {
  const copies = Math.ceil(SMALLEST_TOTAL / count);
  const held = await retainedBytes(() =>
    Array.from({ length: copies }, () => {
      const state = createState();
      make(state);
      const view = new DocumentView(state.documents, silentLog);
      return { view, size: view.all().size };
    }),
  );
  return row(name, count, Math.round(held.bytes / copies));
}

async function documentRows(customers: readonly number[], documents: readonly number[]): Promise<string[]> {
  const rows: string[] = [];
  for (const count of customers) {
    const text = documentText('lm-pool', count);
    const make = ({ machine }: StateParts): void => {
      applyBatch(machine, [documentCommand('lm-pool', text, 0)]);
    };
    rows.push(await stateRow('customers in a document', count, make));
  }
  for (const count of documents) {
    const make = ({ machine }: StateParts): void => {
      for (let n = 0; n < count; n += 1) {
        const service = `service-${n}`;
        applyBatch(machine, [documentCommand(service, documentText(service, 8), n)]);
      }
    };
    rows.push(await stateRow('documents, 8 customers each', count, make));
  }
  return rows;
}

/** Measures the memory. @returns the rows of the report. */
export async function measureMemory(): Promise<string[]> {
  // Warm-up: the first run also loads and compiles code.
  await claimRows([1_000]);
  await documentRows([10], [5]);
  const head = `${'held'.padEnd(28)}${'count'.padStart(9)}${'bytes'.padStart(13)}${'each'.padStart(10)}`;
  return [
    head,
    ...(await claimRows(CLAIM_COUNTS)),
    ...(await documentRows(CUSTOMER_COUNTS, DOCUMENT_COUNTS)),
  ];
}
