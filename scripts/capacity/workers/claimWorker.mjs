// Claims and settlements at a steady rate, as entries make them.
import { createHash } from 'node:crypto';
import { silentMetrics, systemClock } from '@jasmineroute/core';
import { ClaimClient, ControlClient } from '@jasmineroute/directory';
import { Peers, controlMessage } from '@jasmineroute/protocol';
import { answerQuestions } from '../workerProcess.mjs';

const TIMEOUT_MS = 3_000;
const WINDOW_MS = 86_400_000n;

let claims;
let made = 0;

const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms));

async function claimOnce(latencies) {
  made += 1;
  const text = createHash('sha256').update(`${process.pid}/${made}`).digest('hex');
  const names = {
    service: 'registry-desk',
    customer: `customer-${made % 1_900}`,
    key: `policy-${text.slice(0, 12)}`,
    attemptId: `att-${text.slice(0, 32)}`,
  };
  const request = { ...names, fingerprint: Buffer.from(text, 'hex'), windowMs: WINDOW_MS, agent: 'agent-1' };
  const began = performance.now();
  const claimed = await claims.claim(request, TIMEOUT_MS);
  latencies.push(performance.now() - began);
  if (claimed.isErr() || claimed.value.state !== controlMessage.ClaimState.GRANTED) return false;
  const settled = await claims.settle({ ...names, settlement: controlMessage.Settlement.DONE }, TIMEOUT_MS);
  return settled.isOk();
}

const quantile = (sorted, part) => sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * part))] ?? 0;

answerQuestions({
  open({ controls }) {
    const parts = { controls, peers: new Peers(), clock: systemClock, metrics: silentMetrics };
    claims = new ClaimClient(new ControlClient(parts));
  },
  async run({ perSecond, ms }) {
    const wanted = Math.round((perSecond * ms) / 1_000);
    const began = performance.now();
    const latencies = [];
    const calls = [];
    while (calls.length < wanted) {
      const due = Math.min(wanted, Math.ceil(((performance.now() - began) / ms) * wanted));
      while (calls.length < due) calls.push(claimOnce(latencies));
      await sleep(2);
    }
    const results = await Promise.all(calls);
    latencies.sort((a, b) => a - b);
    const done = results.filter(Boolean).length;
    return { done, failed: wanted - done, p50: quantile(latencies, 0.5), p99: quantile(latencies, 0.99) };
  },
});
