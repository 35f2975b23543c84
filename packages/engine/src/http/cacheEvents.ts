/** Reads the engine's stream of cache events. */
import { fault } from '@jasmineroute/core';
import type { Clock, Log } from '@jasmineroute/core';
import { engineEvents } from '../events.js';
import type { CacheEvent } from '../port/index.js';
import { eventData } from '../sse/index.js';
import { FaultError, exchange } from '../wire/index.js';
import type { Connections } from '../wire/index.js';
import { cacheEvent } from './schema.js';

/** Dependencies and settings for reading cache events. */
export interface CacheEventSource {
  readonly connections: Connections;
  readonly clock: Clock;
  readonly log: Log;
  /** Longest silence on the stream, milliseconds; heartbeat comments count as bytes. */
  readonly silenceMs: number;
}

/**
 * Reads GET /kv_events. A malformed event is skipped: the reader detects its missing sequence number as a gap.
 */
export async function* readCacheEvents(
  source: CacheEventSource,
  fromSequence: number,
  signal: AbortSignal,
): AsyncGenerator<CacheEvent> {
  const path = `/kv_events?from=${fromSequence}`;
  const request = {
    method: 'GET',
    path,
    headers: { accept: 'text/event-stream' },
    headSilenceMs: source.silenceMs,
    bodySilenceMs: source.silenceMs,
  };
  const opened = await exchange(source.connections.pool(), request, source.clock, signal);
  if (opened.isErr()) throw new FaultError(opened.error);
  if (opened.value.status !== 200) {
    opened.value.abandon();
    throw new FaultError(fault('engine-failed', `${path}: status ${opened.value.status}`));
  }
  for await (const data of eventData(opened.value.body)) {
    const event = parseEvent(data);
    if (event !== undefined) yield event;
    else source.log.event(engineEvents.malformedCacheEvent, { data: data.slice(0, 200) });
  }
}

function parseEvent(data: string): CacheEvent | undefined {
  try {
    const parsed = cacheEvent.safeParse(JSON.parse(data));
    return parsed.success ? parsed.data : undefined;
  } catch {
    return undefined;
  }
}
