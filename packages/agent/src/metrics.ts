/** Catalogue of metrics. */
import { defineMetrics } from '@jasmineroute/core';

export const agentMetrics = defineMetrics({
  runs: { name: 'agent.runs', type: 'counter', help: 'attempts accepted by the gate' },
  refusals: { name: 'agent.refusals', type: 'counter', help: 'attempts refused, by kind' },
  failures: { name: 'agent.failures', type: 'counter', help: 'attempts that failed at the target, by kind' },
  resumes: { name: 'agent.resumes', type: 'counter', help: 'answers resumed on a new connection, by side' },
  cancels: { name: 'agent.cancels', type: 'counter', help: 'attempts cancelled, by whether they have run' },
  running: { name: 'agent.running', type: 'gauge', help: 'attempts in flight at the target' },
  queued: { name: 'agent.queued', type: 'gauge', help: 'attempts waiting at the gate' },
  reading: {
    name: 'agent.reading',
    type: 'gauge',
    help: 'open streams on which entries read attempts in progress',
  },
  queueTime: {
    name: 'agent.queue.time',
    type: 'timing',
    help: 'milliseconds that an attempt waited in the queue of the gate',
  },
  firstToken: {
    name: 'agent.first_token',
    type: 'timing',
    help: 'milliseconds from sending a request to the first byte of the body',
  },
  cachedTokens: {
    name: 'agent.tokens.cached',
    type: 'counter',
    help: 'prompt tokens found in the cache of the target',
  },
  promptTokens: { name: 'agent.tokens.prompt', type: 'counter', help: 'prompt tokens' },
  outputTokens: { name: 'agent.tokens.output', type: 'counter', help: 'output tokens' },
  indexBlocks: { name: 'agent.index.blocks', type: 'gauge', help: 'blocks in the index' },
  cacheGaps: { name: 'agent.cache.gaps', type: 'counter', help: 'gaps in the stream of cache events' },
  orders: { name: 'agent.orders', type: 'counter', help: 'orders to the target, by outcome' },
});
