/** All policies by name, earlier versions of the default among them. */
import { Registry } from '@jasmineroute/core';
import { LearntHints } from './learntHints.js';
import { LeastOutstanding } from './leastOutstanding.js';
import type { PolicyFactory } from './policy.js';
import { RendezvousProbe } from './probing.js';
import { Rendezvous } from './rendezvous.js';
import { RoundRobin } from './roundRobin.js';
import { Weighing } from './weighing.js';
import type { WeighingOptions } from './weighing.js';

/** Second version of the default: weighs queues and remembers what it has seen. */
const v2: WeighingOptions = {
  probes: 4,
  probesUnknown: 6,
  weights: {
    latency: { base: 1, perWaiting: 1, perWaitingThere: 0 },
    reuse: { base: 3, perWaiting: 2, perWaitingThere: 0 },
  },
  mostWaiting: 20,
  firstProbes: 6,
  trustLikely: false,
  rememberSilent: false,
  homePreference: 0.1,
};

/**
 * Third version: asks six targets in place of four, and counts longer queues more. Four miss targets that hold the
 * prefix; a cap of 20 on the queues lets caches be spent under overload.
 */
const v3: WeighingOptions = {
  probes: 6,
  probesUnknown: 6,
  weights: {
    latency: { base: 1, perWaiting: 2, perWaitingThere: 0 },
    reuse: { base: 3, perWaiting: 3, perWaitingThere: 0 },
  },
  mostWaiting: 100,
  firstProbes: 6,
  trustLikely: false,
  rememberSilent: false,
  homePreference: 0.1,
};

/**
 * Fourth version: goes on comparing caches by what is likely when cache events are lost, weighs silent targets
 * from memory, and asks two targets before it asks all six. Queues elsewhere weigh up to four requests, and the
 * base more: v3 left requests waiting for seconds at a hot home while others idled.
 */
const v4: WeighingOptions = {
  ...v3,
  firstProbes: 2,
  weights: {
    latency: { base: 2, perWaiting: 1, perWaitingThere: 1 },
    reuse: { base: 6, perWaiting: 1, perWaitingThere: 1 },
  },
  mostWaiting: 4,
  trustLikely: true,
  rememberSilent: true,
};

/** Policies that a document or the bench tool can name. */
export const policies = new Registry<PolicyFactory>('policy')
  .add('round-robin', (context) => new RoundRobin(context.seed))
  .add('least-outstanding', (context) => new LeastOutstanding(context.seed))
  .add('rendezvous', () => new Rendezvous())
  .add('rendezvous-probe', (context) => new RendezvousProbe(context))
  .add('learnt-hints', () => new LearntHints())
  .add('v1', (context) => new RendezvousProbe(context))
  .add('v2', (context) => new Weighing(context, v2))
  .add('v3', (context) => new Weighing(context, v3))
  .add('v4', (context) => new Weighing(context, v4))
  .add('default', (context) => new Weighing(context, v4));
