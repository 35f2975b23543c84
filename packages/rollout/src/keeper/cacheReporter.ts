/** Tells what the target beside this process has in its cache. */
import { create } from '@bufbuild/protobuf';
import { createClient } from '@connectrpc/connect';
import type { Clock, Log } from '@jasmineroute/core';
import { KeptParts, controlMessage } from '@jasmineroute/protocol';
import type { CacheNews, Peers } from '@jasmineroute/protocol';
import { rolloutEvents } from '../events.js';
import type { TargetPort } from '../port/index.js';

/** How long the target may hold a call until it has news, milliseconds. */
const WAIT_MS = 500;

/** Time beyond that for the answer, milliseconds: it comes from the same instance. */
const ANSWER_MS = 400;

/** Pause between two calls, milliseconds, so that some changes go out together; the target tells its own 80 ms late. */
const GATHER_MS = 60;

/** Pause before a target that did not answer is called again, milliseconds. */
const PAUSE_MS = 500;

/** A control instance is told at least so often, milliseconds: it believes what it was told for 5 s. */
const REPEAT_MS = 1_500;

/** Longest wait for a control instance, milliseconds. */
const CALL_MS = 400;

/** What the reporter works with. */
export interface CacheReporterParts {
  readonly address: string;
  readonly port: TargetPort;
  /** Control instances, host:port. */
  readonly controls: () => readonly string[];
  readonly peers: Peers;
  readonly clock: Clock;
  readonly log: Log;
}

/**
 * One control instance is told, which tells all entries. A cache turns over in two seconds under load, so where a part
 * was read last says little; a request that goes where its parts are costs neither the store's link nor a second reading.
 */
export class CacheReporter {
  private readonly stopped = new AbortController();
  private readonly kept = new KeptParts();
  private last: CacheNews | undefined;
  /** The control instance that was told last, and up to which place. */
  private told = { control: '', place: 0, at: 0 };

  constructor(private readonly parts: CacheReporterParts) {}

  /** Runs until `stop`. */
  async run(): Promise<void> {
    const { clock } = this.parts;
    const { signal } = this.stopped;
    while (!signal.aborted) {
      const isHeard = await this.look();
      await clock.sleep(isHeard ? GATHER_MS : PAUSE_MS, signal).catch(() => undefined);
    }
  }

  stop(): void {
    this.stopped.abort();
  }

  /** Asks the target once and tells what is new. @returns whether it answered. */
  async look(): Promise<boolean> {
    const { address, port } = this.parts;
    const since = this.last?.next ?? 0;
    // The reporter of loads logs a target that does not answer, and control forgets its cache soon.
    const news = await port.cacheNews(since, WAIT_MS, WAIT_MS + ANSWER_MS).catch(() => undefined);
    if (news === undefined) return false;
    this.last = this.kept.take(address, news, this.last);
    await this.tell();
    return true;
  }

  /** Tells the control instance that knows the rest already, or else all of it to the first that answers. */
  private async tell(): Promise<void> {
    const { controls, clock } = this.parts;
    const isOld = clock.monotonic() - this.told.at > REPEAT_MS;
    if (this.told.place === this.kept.place() && !isOld) return;
    const known = controls();
    const first = known.includes(this.told.control) ? [this.told.control] : [];
    for (const control of [...first, ...known.filter((one) => one !== this.told.control)]) {
      if (await this.tellOne(control)) return;
    }
  }

  private async tellOne(control: string): Promise<boolean> {
    const { address, peers, clock, log } = this.parts;
    const place = this.kept.place();
    const since = control === this.told.control ? this.told.place : 0;
    const changes = this.kept.since(since);
    const client = createClient(controlMessage.Configurations, peers.transport(control));
    try {
      const message = create(controlMessage.TargetCacheSchema, { address, changes });
      await client.reportCache(message, { timeoutMs: CALL_MS });
      this.told = { control, place, at: clock.monotonic() };
      return true;
    } catch (error) {
      // It may have taken the changes or not: it is told all of it the next time.
      this.told = { control: '', place: 0, at: 0 };
      log.event(rolloutEvents.unobserved, { control, problem: String(error) });
      return false;
    }
  }
}
