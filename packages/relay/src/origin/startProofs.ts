/** Proofs that an answer comes from the start of a target that this entry takes it for. */
import { createClient } from '@connectrpc/connect';
import type { Target } from '@jasmineroute/knowledge';
import { compareStarts, controlMessage } from '@jasmineroute/protocol';
import { relayEvents } from '../events.js';
import type { OriginLookupParts } from './originLookup.js';

/** Time for which an answer waits for its proof, milliseconds: a heartbeat of the target, and its way here. */
export const PROOF_MS = 1_500;

/** Shortest and longest pause between two questions, milliseconds. */
const RETRY_MS = 50;
const MAX_RETRY_MS = 400;

/** Timeout of a call, milliseconds. */
const CALL_TIMEOUT_MS = 250;

/** What control knows of a start: it has called, a newer one has, or neither is known. */
type StartState = 'heard' | 'replaced' | 'unknown';

/**
 * A target may start again under its id, with other software, before anybody hears of it; its answers name no start. But each
 * connection leads to the process that took it. So an answer is of a start that was heard of after its connection was open.
 */
export class StartProofs {
  /** Monotonic times after which a start was heard of, by its id. */
  private readonly heardAt = new Map<string, number>();
  /** Questions on their way, by the id of the start. */
  private readonly asked = new Map<string, Promise<StartState>>();

  constructor(private readonly parts: OriginLookupParts) {}

  /** Whether a connection that was open at `connectedAt` is known to lead to a start. A target that tells no start never uses its id again. */
  isProven({ id, born }: Target, connectedAt: number): boolean {
    return born === undefined || (this.heardAt.get(id) ?? -Infinity) > connectedAt;
  }

  /**
   * Asks control until a connection is known to lead to a start, or to another one.
   * @returns false also if that is still unknown after `withinMs` milliseconds.
   */
  async prove(target: Target, connectedAt: number, withinMs: number): Promise<boolean> {
    const { clock, log } = this.parts;
    const endsAt = clock.monotonic() + withinMs;
    let pauseMs = RETRY_MS;
    while (!this.isProven(target, connectedAt)) {
      const state = await this.ask(target);
      if (this.isProven(target, connectedAt)) break;
      if (state === 'replaced' || clock.monotonic() >= endsAt) {
        const connectedMs = Math.round(clock.monotonic() - connectedAt);
        log.event(relayEvents.startUnproven, { target: target.id, state, connectedMs });
        return false;
      }
      await clock.sleep(pauseMs);
      pauseMs = Math.min(MAX_RETRY_MS, pauseMs * 1.5);
    }
    return true;
  }

  /** Drops what is held of starts that are not listed. */
  retain(ids: ReadonlySet<string>): void {
    for (const id of this.heardAt.keys()) if (!ids.has(id)) this.heardAt.delete(id);
  }

  private ask(target: Target): Promise<StartState> {
    const state =
      this.asked.get(target.id) ?? this.askAll(target).finally(() => this.asked.delete(target.id));
    this.asked.set(target.id, state);
    return state;
  }

  /** Asks all instances, as a target calls any of them. Resolves as soon as one knows something. */
  private async askAll(target: Target): Promise<StartState> {
    const calls = this.parts.controls().map((control) => this.call(control, target));
    const known = calls.map(async (call) => {
      const state = await call;
      if (state === 'unknown') throw new Error('nothing is known');
      return state;
    });
    return Promise.any(known).catch((): StartState => 'unknown');
  }

  private async call(control: string, target: Target): Promise<StartState> {
    const { peers, clock, log } = this.parts;
    const client = createClient(controlMessage.Configurations, peers.transport(control));
    const askedAt = clock.monotonic();
    try {
      const { starts } = await client.findStarts({ names: [target.name] }, { timeoutMs: CALL_TIMEOUT_MS });
      const [start] = starts;
      if (start === undefined) return 'unknown';
      const born = start.born === undefined ? undefined : Number(start.born);
      const order = compareStarts({ name: target.name, born }, target);
      if (order !== 0) return order > 0 ? 'replaced' : 'unknown';
      if (start.heardMs === undefined) return 'unknown';
      const heardAt = askedAt - start.heardMs;
      this.heardAt.set(target.id, Math.max(heardAt, this.heardAt.get(target.id) ?? -Infinity));
      return 'heard';
    } catch (error) {
      log.event(relayEvents.originsUnanswered, { control, target: target.id, problem: String(error) });
      return 'unknown';
    }
  }
}
