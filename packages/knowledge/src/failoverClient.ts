/** Calls the first control instance that answers. */
import { createClient } from '@connectrpc/connect';
import type { CallOptions, Client } from '@connectrpc/connect';
import type { Clock, Log } from '@jasmineroute/core';
import { controlMessage } from '@jasmineroute/protocol';
import type { Peers } from '@jasmineroute/protocol';
import { knowledgeEvents } from './events.js';

/** Timeout of a call, milliseconds: about ten round trips. */
const CALL_TIMEOUT_MS = 400;

/** Longest time for which an instance that did not answer is skipped, milliseconds: twice the time in which its loss is detected. */
const MAX_SKIP_MS = 2_000;

/**
 * Shortest such time, milliseconds, and the ratio to the duration of the failed call. A refused connection costs next to
 * nothing, and an instance that refuses it is often about to start.
 */
const MIN_SKIP_MS = 100;
const SKIP_RATIO = 10;

/** Dependencies of the client. */
export interface FailoverParts {
  /** Control instances, host:port, in the order in which they are tried. */
  readonly controls: () => readonly string[];
  readonly peers: Peers;
  readonly clock: Clock;
  readonly log: Log;
}

/** One call to a control instance at an address. */
export type ControlCall = (
  client: Client<typeof controlMessage.Configurations>,
  options: CallOptions,
  address: string,
) => Promise<unknown>;

/** Skips instances that did not answer for some time, and logs each loss and each return once. */
export class FailoverClient {
  /** Monotonic time until which an instance is skipped, by address. */
  private readonly skippedUntil = new Map<string, number>();

  constructor(private readonly parts: FailoverParts) {}

  /** Calls instances in order, `preferred` first, until one answers. @returns its address, or undefined. */
  async call(call: ControlCall, preferred?: string): Promise<string | undefined> {
    const { controls, clock } = this.parts;
    const known = controls();
    const ordered = [...known].sort((a, b) => Number(b === preferred) - Number(a === preferred));
    for (const address of ordered) {
      if ((this.skippedUntil.get(address) ?? Number.NEGATIVE_INFINITY) > clock.monotonic()) continue;
      if (await this.callOne(address, call)) return address;
    }
    return undefined;
  }

  private async callOne(address: string, call: ControlCall): Promise<boolean> {
    const { peers, clock, log } = this.parts;
    const client = createClient(controlMessage.Configurations, peers.transport(address));
    const calledAt = clock.monotonic();
    try {
      await call(client, { timeoutMs: CALL_TIMEOUT_MS }, address);
    } catch (error) {
      if (!this.skippedUntil.has(address)) {
        log.event(knowledgeEvents.controlUnreachable, { control: address, problem: String(error) });
      }
      const now = clock.monotonic();
      const skipMs = Math.max(MIN_SKIP_MS, (now - calledAt) * SKIP_RATIO);
      this.skippedUntil.set(address, now + Math.min(MAX_SKIP_MS, skipMs));
      return false;
    }
    if (this.skippedUntil.delete(address)) log.event(knowledgeEvents.controlReachable, { control: address });
    return true;
  }
}
