/** Tells the load of the target beside this process. */
import { createClient } from '@connectrpc/connect';
import type { Clock, Log } from '@jasmineroute/core';
import type { Knowledge } from '@jasmineroute/knowledge';
import { controlMessage } from '@jasmineroute/protocol';
import type { Peers } from '@jasmineroute/protocol';
import { rolloutEvents } from '../events.js';
import type { TargetPort } from '../port/index.js';

/** Pause between two looks at the target, milliseconds. A report costs nothing from beside it. */
const LOOK_MS = 200;

/** A load that has not changed is told again after so long, milliseconds: entries believe one for 2 s. */
const REPEAT_MS = 800;

/** Longest wait for a report, or for a control instance, milliseconds. */
const CALL_MS = 400;

/** What the reporter works with. */
export interface LoadReporterParts {
  readonly address: string;
  readonly port: TargetPort;
  readonly knowledge: Knowledge;
  /** Control instances, host:port. */
  readonly controls: () => readonly string[];
  readonly peers: Peers;
  readonly clock: Clock;
  readonly log: Log;
}

/**
 * One control instance is told, which tells all entries. Entries see only the answers to their own requests: of eight,
 * each knew what a target had a second ago, and a target that all of them thought idle got 40 requests for its 48
 * places, where one in ten is on time.
 */
export class LoadReporter {
  private readonly stopped = new AbortController();
  private told = '';
  /** The target did not answer the last time; logged once for each loss. */
  private lost = false;
  private toldAt = Number.NEGATIVE_INFINITY;

  constructor(private readonly parts: LoadReporterParts) {}

  /** Runs until `stop`. */
  async run(): Promise<void> {
    const { clock } = this.parts;
    const { signal } = this.stopped;
    while (!signal.aborted) {
      await this.look();
      await clock.sleep(LOOK_MS, signal).catch(() => undefined);
    }
  }

  stop(): void {
    this.stopped.abort();
  }

  private async look(): Promise<void> {
    const { knowledge, address, port, clock, log } = this.parts;
    const target = knowledge.targets.at(address);
    if (target === undefined) return;
    const report = await port.report(CALL_MS);
    if (report.isErr()) {
      if (!this.lost) log.event(rolloutEvents.unreachable, { address, problem: report.error.message });
      this.lost = true;
      return;
    }
    this.lost = false;
    const { running, waiting } = report.value;
    const load = `${target.id} ${running} ${waiting}`;
    const now = clock.monotonic();
    if (load === this.told && now - this.toldAt < REPEAT_MS) return;
    if (!(await this.tell({ targetId: target.id, running, waiting }))) return;
    this.told = load;
    this.toldAt = now;
  }

  /** Tells the first control instance that answers. */
  private async tell(load: { targetId: string; running: number; waiting: number }): Promise<boolean> {
    const { controls, peers, log } = this.parts;
    for (const address of controls()) {
      const client = createClient(controlMessage.Configurations, peers.transport(address));
      try {
        await client.reportLoad(load, { timeoutMs: CALL_MS });
        return true;
      } catch (error) {
        log.event(rolloutEvents.unobserved, { control: address, problem: String(error) });
      }
    }
    return false;
  }
}
