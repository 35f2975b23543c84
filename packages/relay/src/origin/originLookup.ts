/** Asks control instances for the origins of streams that began at other entries. */
import { createClient } from '@connectrpc/connect';
import type { Clock, Log } from '@jasmineroute/core';
import { controlMessage } from '@jasmineroute/protocol';
import type { Peers } from '@jasmineroute/protocol';
import { relayEvents } from '../events.js';
import { callWithin } from './callWithin.js';

/** Time for which lookups are gathered into one call, milliseconds: after the loss of an entry many come at once. */
const GATHER_MS = 2;

/** Timeout of a call, milliseconds. */
const CALL_TIMEOUT_MS = 250;

/** Dependencies of the lookup. */
export interface OriginLookupParts {
  /** All known control instances, host:port. */
  readonly controls: () => readonly string[];
  readonly peers: Peers;
  readonly clock: Clock;
  readonly log: Log;
}

/** What control instances know of a stream. */
export interface LookupResult {
  /** Absent: no instance that answered knows it. */
  readonly origin?: controlMessage.StreamOrigin;
  /** Whether all instances answered, or one knows it. */
  readonly isComplete: boolean;
}

interface Lookup {
  readonly stream: Uint8Array;
  readonly resolve: (result: LookupResult) => void;
}

/** Asks all instances at once: which of them hold a copy depends on the entry that began the stream. */
export class OriginLookup {
  private waiting: Lookup[] = [];

  constructor(private readonly parts: OriginLookupParts) {}

  /** Resolves as soon as one instance knows the stream, or once all have answered or timed out. */
  find(stream: Uint8Array): Promise<LookupResult> {
    return new Promise((resolve) => {
      if (this.waiting.length === 0)
        this.parts.clock.after(GATHER_MS, () => {
          void this.callAll();
        });
      this.waiting.push({ stream, resolve });
    });
  }

  private async callAll(): Promise<void> {
    const lookups = this.waiting;
    this.waiting = [];
    const controls = this.parts.controls();
    const answered = await Promise.all(controls.map((control) => this.call(control, lookups)));
    const isComplete = controls.length > 0 && answered.every((isAnswered) => isAnswered);
    for (const { resolve } of lookups) resolve({ isComplete });
  }

  /** Calls one instance. @returns whether it answered. */
  private async call(control: string, lookups: readonly Lookup[]): Promise<boolean> {
    const { peers, clock, log } = this.parts;
    const client = createClient(controlMessage.Configurations, peers.transport(control));
    try {
      const request = { streams: lookups.map(({ stream }) => stream) };
      const ask = (options: { signal: AbortSignal }) => client.findOrigins(request, options);
      const { origins } = await callWithin(clock, CALL_TIMEOUT_MS, ask);
      for (const origin of origins) settle(lookups, origin);
      return true;
    } catch (error) {
      log.event(relayEvents.originsUnanswered, { control, streams: lookups.length, problem: String(error) });
      return false;
    }
  }
}

function settle(lookups: readonly Lookup[], origin: controlMessage.StreamOrigin): void {
  for (const { stream, resolve } of lookups)
    if (Buffer.compare(stream, origin.stream) === 0) resolve({ origin, isComplete: true });
}
