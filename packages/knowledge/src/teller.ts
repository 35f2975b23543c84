/** Tells one control instance what others are to hear from it. */
import { createClient } from '@connectrpc/connect';
import type { CallOptions, Client } from '@connectrpc/connect';
import type { Clock, Log } from '@jasmineroute/core';
import { controlMessage } from '@jasmineroute/protocol';
import type { Peers } from '@jasmineroute/protocol';
import { knowledgeEvents } from './events.js';

/** Longest wait for a control instance, milliseconds: some ten times the way there and back. */
const CALL_MS = 400;

/** How long one that did not answer is passed over, milliseconds: twice the time in which its loss is noticed otherwise. */
const PASS_OVER_MS = 2_000;

/** What a teller works with. */
export interface TellerParts {
  /** Control instances, host:port, in the order in which they are tried. */
  readonly controls: () => readonly string[];
  readonly peers: Peers;
  readonly clock: Clock;
  readonly log: Log;
}

/** One call to a control instance at an address. */
export type Telling = (
  client: Client<typeof controlMessage.Configurations>,
  options: CallOptions,
  address: string,
) => Promise<unknown>;

/** Remembers which instances did not answer, and logs each loss and each return once. */
export class Teller {
  /** Until when an instance is passed over, by its address. */
  private readonly lost = new Map<string, number>();

  constructor(private readonly parts: TellerParts) {}

  /** Tells the first instance that answers, `preferred` before others. @returns its address, or undefined. */
  async tell(call: Telling, preferred?: string): Promise<string | undefined> {
    const { controls, clock } = this.parts;
    const known = controls();
    const ordered = [...known].sort((a, b) => Number(b === preferred) - Number(a === preferred));
    for (const address of ordered) {
      if ((this.lost.get(address) ?? Number.NEGATIVE_INFINITY) > clock.monotonic()) continue;
      if (await this.tellOne(address, call)) return address;
    }
    return undefined;
  }

  private async tellOne(address: string, call: Telling): Promise<boolean> {
    const { peers, clock, log } = this.parts;
    const client = createClient(controlMessage.Configurations, peers.transport(address));
    try {
      await call(client, { timeoutMs: CALL_MS }, address);
    } catch (error) {
      if (!this.lost.has(address)) {
        log.event(knowledgeEvents.notTold, { control: address, problem: String(error) });
      }
      this.lost.set(address, clock.monotonic() + PASS_OVER_MS);
      return false;
    }
    if (this.lost.delete(address)) log.event(knowledgeEvents.toldAgain, { control: address });
    return true;
  }
}
