/** One watch stream from one source. */
import { createClient } from '@connectrpc/connect';
import type { Cancellation, Clock, Log, Metrics } from '@jasmineroute/core';
import { controlMessage, faultOf } from '@jasmineroute/protocol';
import type { Peers } from '@jasmineroute/protocol';
import type { ControlAddresses } from '../call/index.js';
import { CallLimit } from '../call/index.js';
import { directoryEvents } from '../events.js';
import { jittered } from './timing.js';
import type { ClientTiming } from './timing.js';

/** Random variation of the time for which a neighbour is watched, as a share of it. */
const NEIGHBOUR_JITTER = 0.5;

/**
 * Why a watch ended:
 * - silent: no event arrived in time, not even a keep-alive;
 * - unvouched: the control instance remained without a quorum;
 * - lost: the stream ended or failed, or the source was unreachable;
 * - misfit: an event did not apply to the local view, so a new snapshot is needed;
 * - tried: the time for a neighbour is over, control instances are tried again;
 * - stopped: this process is stopping.
 */
export type WatchEnd = 'silent' | 'unvouched' | 'lost' | 'misfit' | 'tried' | 'stopped';

/** The source of a watch. */
export interface WatchedSource {
  /** host:port. */
  readonly address: string;
  readonly kind: 'control' | 'neighbour';
}

/** Dependencies of a watch. */
export interface WatchContext {
  readonly peers: Peers;
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: Metrics;
  readonly timing: ClientTiming;
  readonly addresses: ControlAddresses;
  readonly dataCentre: () => string;
  /** Starts a new watch and returns its request. */
  readonly request: () => controlMessage.WatchRequest;
  /** Applies an event. Resolves to false if it does not apply to the local view, so that a new snapshot is needed. */
  readonly apply: (event: controlMessage.WatchEvent, source: WatchedSource) => Promise<boolean>;
  /** Called when the watch has ended, so that the view may be outdated. */
  readonly onSourceLost: () => void;
  /** Addresses of processes that serve their view while no control instance answers. */
  readonly neighbours: () => readonly string[];
}

/** Result of a watch. */
export interface WatchOutcome {
  readonly end: WatchEnd;
  /** Whether the source was in touch with a quorum at least once. */
  readonly vouched: boolean;
}

/** Time limits of a watch, in milliseconds. */
export interface WatchLimits {
  /** For a control instance without a quorum. */
  readonly unvouchedMs: number;
  /** For the first event. */
  readonly firstEventMs: number;
}

/** Reads the events of one source. */
export class WatchStream {
  private end: WatchEnd = 'lost';
  private cancelSilenceTimer: Cancellation = () => undefined;
  private unvouchedSince: number | undefined;
  private vouched = false;
  private limit: CallLimit | undefined;

  constructor(
    private readonly context: WatchContext,
    private readonly source: WatchedSource,
    private readonly limits: WatchLimits,
  ) {}

  /** Runs until the watch ends for one of the reasons of `WatchEnd`. */
  async run(stop: AbortSignal): Promise<WatchOutcome> {
    const { clock, timing, log } = this.context;
    const { address, kind } = this.source;
    const stayMs = kind === 'control' ? undefined : jittered(timing.neighbourMs, NEIGHBOUR_JITTER);
    const cancelNeighbourTimer =
      stayMs === undefined ? undefined : clock.after(stayMs, this.abortWith('tried'));
    const limit = new CallLimit(stop);
    this.limit = limit;
    this.restartSilenceTimer(this.limits.firstEventMs);
    try {
      await this.readEvents(limit.signal);
    } catch (error) {
      if (!limit.signal.aborted)
        log.event(directoryEvents.watchLost, { address, problem: faultOf(error).message });
    } finally {
      this.cancelSilenceTimer();
      cancelNeighbourTimer?.();
      limit.abort('left');
      limit.release();
    }
    return { end: stop.aborted ? 'stopped' : this.end, vouched: this.vouched };
  }

  private async readEvents(signal: AbortSignal): Promise<void> {
    const { peers, log, addresses, apply, request } = this.context;
    const { address, kind } = this.source;
    const client = createClient(controlMessage.Directory, peers.transport(address));
    let opened = false;
    addresses.recordRequest(address);
    for await (const event of client.watch(request(), { signal })) {
      this.restartSilenceTimer(this.context.timing.silenceMs);
      if (!opened) log.event(directoryEvents.watchOpened, { address, kind });
      opened = true;
      addresses.recordResponse(address);
      addresses.recordRequest(address);
      if (!(await apply(event, this.source))) {
        this.end = 'misfit';
        return;
      }
      if (kind === 'control' && !this.isQuorumRecent(event.vouched)) {
        this.end = 'unvouched';
        return;
      }
    }
  }

  /**
   * Restarts the timer that ends a silent watch. A connection can stop delivering data while new ones work, without an
   * error at either end, for example when a middlebox has dropped its state. Keep-alive events arrive every second, so
   * a longer silence reveals this.
   */
  private restartSilenceTimer(ms: number): void {
    this.cancelSilenceTimer();
    this.cancelSilenceTimer = this.context.clock.after(ms, this.abortWith('silent'));
  }

  /**
   * Whether the source was in touch with a quorum within the limit. An isolated control instance goes on serving its
   * old state; it reports the lost quorum within seconds, and a watcher that stayed with it would miss every change.
   */
  private isQuorumRecent(vouched: boolean): boolean {
    const now = this.context.clock.monotonic();
    this.vouched ||= vouched;
    this.unvouchedSince = vouched ? undefined : (this.unvouchedSince ?? now);
    return this.unvouchedSince === undefined || now - this.unvouchedSince <= this.limits.unvouchedMs;
  }

  private abortWith(end: WatchEnd): () => void {
    return () => {
      this.end = end;
      this.limit?.abort(end);
    };
  }
}
