/** All policies by name, including earlier versions of the default. */
import { Registry } from '@jasmineroute/core';
import { LearntHints } from './learntHints.js';
import { LeastOutstanding } from './leastOutstanding.js';
import type { PolicyFactory } from './policy.js';
import { RendezvousProbe } from './rendezvousProbe.js';
import { Rendezvous } from './rendezvous.js';
import { RoundRobin } from './roundRobin.js';
import { LowestCost } from './lowestCost.js';
import type { LowestCostOptions } from './lowestCost.js';

/** Second version of the default: takes queues into account and uses past observations. */
const v2: LowestCostOptions = {
  probes: 4,
  probesWithoutHint: 6,
  weights: {
    latency: { base: 1, perQueued: 1, perQueuedAtTarget: 0 },
    reuse: { base: 3, perQueued: 2, perQueuedAtTarget: 0 },
  },
  maxMeanQueued: 20,
  initialProbes: 6,
  countLikelyBlocks: false,
  useHistoryOnTimeout: false,
  homePreference: 0.1,
};

/**
 * Third version: probes six targets instead of four, because four miss targets that have the prefix cached, and
 * raises the bound of the mean queue length from 20, which let the policy waste cached prefixes under overload.
 */
const v3: LowestCostOptions = {
  probes: 6,
  probesWithoutHint: 6,
  weights: {
    latency: { base: 1, perQueued: 2, perQueuedAtTarget: 0 },
    reuse: { base: 3, perQueued: 3, perQueuedAtTarget: 0 },
  },
  maxMeanQueued: 100,
  initialProbes: 6,
  countLikelyBlocks: false,
  useHistoryOnTimeout: false,
  homePreference: 0.1,
};

/**
 * Fourth version: compares caches by their likely content when cache events are lost, estimates targets whose probe
 * timed out from past observations, and probes two targets before all six. It bounds the mean queue length at four
 * and raises the base weight: v3 let requests wait for seconds at an overloaded home while other targets idled.
 */
const v4: LowestCostOptions = {
  ...v3,
  initialProbes: 2,
  weights: {
    latency: { base: 2, perQueued: 1, perQueuedAtTarget: 1 },
    reuse: { base: 6, perQueued: 1, perQueuedAtTarget: 1 },
  },
  maxMeanQueued: 4,
  countLikelyBlocks: true,
  useHistoryOnTimeout: true,
};

/** Policies that can be selected in a document or in the bench tool. */
export const policies = new Registry<PolicyFactory>('policy')
  .add('round-robin', (context) => new RoundRobin(context.seed))
  .add('least-outstanding', (context) => new LeastOutstanding(context.seed))
  .add('rendezvous', () => new Rendezvous())
  .add('rendezvous-probe', (context) => new RendezvousProbe(context))
  .add('learnt-hints', () => new LearntHints())
  .add('v1', (context) => new RendezvousProbe(context))
  .add('v2', (context) => new LowestCost(context, v2))
  .add('v3', (context) => new LowestCost(context, v3))
  .add('v4', (context) => new LowestCost(context, v4))
  .add('default', (context) => new LowestCost(context, v4));
