/** Converts messages of gates to the types of the routing library. */
import type { gateMessage } from '@jasmineroute/protocol';
import type { Load, ProbeReading } from '@jasmineroute/routing';

/** Converts a reported load. */
export function loadOf(load: gateMessage.Load | undefined): Load | undefined {
  if (load === undefined) return undefined;
  const { running, queued, queuedTokens, aheadTokens, prefillRate, tokenMs, capacity } = load;
  return { running, queued, queuedTokens, aheadTokens, prefillRate, tokenMs, capacity };
}

const noLoad: Load = {
  running: 0,
  queued: 0,
  queuedTokens: 0,
  aheadTokens: 0,
  prefillRate: 0,
  tokenMs: 0,
  capacity: 0,
};

/** Converts the response to a probe. */
export function readingOf(answer: gateMessage.ProbeResponse): ProbeReading {
  return {
    engineIncarnation: answer.incarnation,
    accepting: answer.accepting,
    cachedTokens: answer.cachedTokens,
    likelyTokens: answer.likelyTokens,
    load: loadOf(answer.load) ?? noLoad,
    estimateMs: answer.estimateMs,
  };
}
