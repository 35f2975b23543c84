/** Tells the other entries what this one has under way at targets. */
import { createClient } from '@connectrpc/connect';
import type { Clock, Log } from '@jasmineroute/core';
import { controlMessage } from '@jasmineroute/protocol';
import type { Peers } from '@jasmineroute/protocol';
import { relayEvents } from '../events.js';
import type { Backlog, PromptWork } from './backlog.js';

/**
 * Pause between two looks, milliseconds, for each eight entries: a target gets a prompt each 100 ms, and reads it in 30.
 * With more entries each tells less often, so that a control instance gets 320 calls a second at most.
 */
const LOOK_MS = 25;
const ENTRIES_AT_ONCE = 8;

/** Work that has not changed is told again after so long, milliseconds: entries believe it for 1 s. */
const REPEAT_MS = 500;

/** Work that changed by less, in all, is not told: it decides nothing. In tokens. */
const LEAST_CHANGE = 500;

/** Longest wait for a control instance, milliseconds, and how long one that did not answer is passed over. */
const CALL_MS = 300;
const PASS_OVER_MS = 2_000;

/** What the reporter works with. */
export interface WorkReporterParts {
  readonly name: string;
  readonly backlog: Backlog;
  /** Entries that serve now. */
  readonly entries: () => number;
  /** Control instances, host:port. */
  readonly controls: () => readonly string[];
  readonly peers: Peers;
  readonly clock: Clock;
  readonly log: Log;
}

/**
 * One control instance is told, which tells all entries. Without it each entry sees an eighth of what a target has to
 * read, and several send their prompts to one target within the time that it takes to read one.
 */
export class WorkReporter {
  private readonly stopped = new AbortController();
  private told = new Map<string, number>();
  private toldAt = Number.NEGATIVE_INFINITY;
  /** Control instances that did not answer, and until when they are passed over. */
  private readonly passedOver = new Map<string, number>();

  constructor(private readonly parts: WorkReporterParts) {}

  /** Runs until `stop`. */
  async run(): Promise<void> {
    const { clock, entries } = this.parts;
    const { signal } = this.stopped;
    while (!signal.aborted) {
      await this.look();
      const pauseMs = LOOK_MS * Math.ceil(entries() / ENTRIES_AT_ONCE);
      await clock.sleep(pauseMs, signal).catch(() => undefined);
    }
  }

  stop(): void {
    this.stopped.abort();
  }

  private async look(): Promise<void> {
    const { backlog, clock } = this.parts;
    const work = backlog.ownWork();
    const now = clock.monotonic();
    const isOld = now - this.toldAt >= REPEAT_MS && work.length > 0;
    if (!isOld && changeOf(this.told, work) < LEAST_CHANGE) return;
    if (!(await this.tell(work))) return;
    this.told = new Map(work.map(({ targetId, tokens }) => [targetId, tokens]));
    this.toldAt = now;
  }

  /** Tells the first control instance that answers; all entries take the same, whose events then hold more at once. */
  private async tell(work: readonly PromptWork[]): Promise<boolean> {
    const { name, controls, peers, clock, log } = this.parts;
    const usable = [...controls()]
      .sort()
      .filter((one) => (this.passedOver.get(one) ?? 0) <= clock.monotonic());
    for (const address of usable) {
      const client = createClient(controlMessage.Configurations, peers.transport(address));
      try {
        await client.reportWork({ entry: name, targets: [...work] }, { timeoutMs: CALL_MS });
        return true;
      } catch (error) {
        this.passedOver.set(address, clock.monotonic() + PASS_OVER_MS);
        log.event(relayEvents.workNotTold, { control: address, problem: String(error) });
      }
    }
    return false;
  }
}

/** Tokens by which work differs from what was told, over all targets. */
function changeOf(told: ReadonlyMap<string, number>, work: readonly PromptWork[]): number {
  const now = new Map(work.map(({ targetId, tokens }) => [targetId, tokens]));
  const ids = new Set([...told.keys(), ...now.keys()]);
  return [...ids].reduce((sum, id) => sum + Math.abs((now.get(id) ?? 0) - (told.get(id) ?? 0)), 0);
}
