// Live bytes of claims and documents in the replicated state of a control instance.
import { createHash } from 'node:crypto';
import { silentLog } from '@jasmineroute/core';
import { controlMessage } from '@jasmineroute/protocol';
import { DocumentView } from '../../../packages/control/dist/documents/index.js';
import { applyBatch } from '../../../packages/control/dist/fixture/index.js';
import { createState } from '../../../packages/control/dist/role/index.js';
import { hashKey } from '@jasmineroute/document';
import { modelDocument, operatorKey } from '../documentText.mjs';
import { liveBytes } from '../meter.mjs';
import { answerQuestions } from '../workerProcess.mjs';

const BATCH = 500;
const WINDOW_MS = 86_400_000n;
/** Customers in all copies of a small document. */
const LEAST_HELD = 2_000;

const namesOf = (place) => ({
  service: 'registry-desk',
  customer: `customer-${place % 1_900}`,
  key: `policy-${place}-7f3c2a`,
  attemptId: `att-${createHash('md5').update(String(place)).digest('hex')}`,
});

function claim(place) {
  const fingerprint = createHash('sha256').update(String(place)).digest();
  const request = { ...namesOf(place), agent: `agent-${place % 4_900}`, fingerprint, windowMs: WINDOW_MS };
  return { case: 'claim', value: { request, maxClaims: 4_000_000_000 } };
}

function settle(place) {
  const request = { ...namesOf(place), settlement: controlMessage.Settlement.DONE };
  return { case: 'settle', value: { request, maxAnswerBytes: 0n } };
}

function fill({ machine }, count, command) {
  for (let start = 0; start < count; start += BATCH) {
    const size = Math.min(BATCH, count - start);
    applyBatch(
      machine,
      Array.from({ length: size }, (_, place) => command(start + place)),
    );
  }
}

function apply({ machine }, service, customers) {
  const { text } = modelDocument(service, customers, 1);
  const keyHash = hashKey(operatorKey(service));
  const ids = { service, applyId: service, checkedRevision: 0n, operator: 'lead' };
  const keys = { keyHash, operatorHashes: [keyHash], sharedHash: createHash('md5').update(text).digest() };
  applyBatch(machine, [{ case: 'apply', value: { ...ids, ...keys, text } }]);
}

answerQuestions({
  async claims({ count }) {
    const state = createState();
    const before = await liveBytes();
    fill(state, count, claim);
    const open = (await liveBytes()) - before;
    fill(state, count, settle);
    const settled = (await liveBytes()) - before;
    return { open, settled, snapshot: state.machine.snapshot().byteLength };
  },
  async customers({ count }) {
    const copies = Math.ceil(LEAST_HELD / count);
    const before = await liveBytes();
    const held = Array.from({ length: copies }, () => {
      const state = createState();
      apply(state, 'pool', count);
      const view = new DocumentView(state.documents, silentLog);
      return { view, size: view.all().size };
    });
    const after = await liveBytes();
    if (held.some(({ size }) => size !== 1)) throw new Error('the document is not held');
    return (after - before) / copies;
  },
});
