/** Unary calls to control instances with failover. */
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { Transport } from '@connectrpc/connect';
import { fault } from '@jasmineroute/core';
import type { Clock, Fault, Metrics } from '@jasmineroute/core';
import { faultOf } from '@jasmineroute/protocol';
import type { Peers } from '@jasmineroute/protocol';
import { directoryMetrics } from '../metrics.js';
import { CallLimit } from './callLimit.js';
import { ControlAddresses } from './controlAddresses.js';

/** Default timeout of one attempt before the next instance is tried, in milliseconds. */
const ATTEMPT_TIMEOUT_MS = 1_500;
/** Minimum remaining time for another attempt, in milliseconds. */
const MIN_ATTEMPT_MS = 20;
/** Pause before all addresses are tried again, in milliseconds. */
const ROUND_PAUSE_MS = 100;

/** Dependencies and settings of the calls. */
export interface ControlClientOptions {
  /**
   * Control instances, host:port: those known at the moment of a call, as instances are replaced while a process runs; or
   * the addresses that the directory client keeps up to date, so that both see which instances fail.
   */
  readonly controls: (() => readonly string[]) | ControlAddresses;
  readonly peers: Peers;
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly dataCentre?: string;
  /** Timeout of one attempt before the next instance is tried, in milliseconds. */
  readonly attemptMs?: number;
}

/** One call over a transport. It must be idempotent, for example by an attempt id, as it may be sent several times. */
export type ControlCall<T> = (transport: Transport, signal: AbortSignal) => Promise<T>;

/** Calls with failover that report whether a failed call may have run. */
export class ControlClient {
  private readonly addresses: ControlAddresses;
  private preferred = '';
  private readonly attemptMs: number;

  constructor(private readonly options: ControlClientOptions) {
    this.attemptMs = options.attemptMs ?? ATTEMPT_TIMEOUT_MS;
    const { controls, clock } = options;
    this.addresses =
      controls instanceof ControlAddresses ? controls : new ControlAddresses([], () => clock.monotonic());
  }

  /** Tries an instance before all others until it fails. An unknown address is ignored. */
  prefer(address: string): void {
    if (address !== '') this.preferred = address;
  }

  /**
   * Tries one instance after the other until one answers or `timeoutMs` have passed.
   * @returns the answer; or the last fault, whose `ran` is 'not-run' only if that holds for every attempt.
   */
  async call<T>(call: ControlCall<T>, timeoutMs: number): Promise<Result<T, Fault>> {
    const { clock } = this.options;
    const deadline = clock.monotonic() + timeoutMs;
    const left = (): number => deadline - clock.monotonic();
    let last = fault('no-quorum', 'no control instance is known');
    let mayHaveRun = false;
    while (left() > MIN_ATTEMPT_MS) {
      for (const address of this.orderedAddresses()) {
        if (left() <= MIN_ATTEMPT_MS) break;
        const outcome = await this.attempt(address, call, Math.min(left(), this.attemptMs));
        if (outcome.isOk()) return ok(outcome.value);
        last = outcome.error;
        mayHaveRun ||= last.ran !== 'not-run';
        if (!isRetryable(last)) return err(withRan(last, mayHaveRun));
        this.options.metrics.count(directoryMetrics.callRetries);
      }
      await clock.sleep(Math.min(ROUND_PAUSE_MS, Math.max(0, left())));
    }
    return err(withRan(last, mayHaveRun));
  }

  private orderedAddresses(): string[] {
    const { controls, dataCentre } = this.options;
    if (typeof controls === 'function')
      this.addresses.setDiscovered(new Map(controls().map((address) => [address, ''])));
    const order = this.addresses.order(dataCentre);
    const { preferred } = this;
    if (!order.includes(preferred)) return order;
    return [preferred, ...order.filter((address) => address !== preferred)];
  }

  private async attempt<T>(address: string, call: ControlCall<T>, ms: number): Promise<Result<T, Fault>> {
    const limit = new CallLimit().after(this.options.clock, ms);
    this.addresses.recordRequest(address);
    try {
      const answer = await call(this.options.peers.transport(address), limit.signal);
      this.addresses.recordResponse(address);
      return ok(answer);
    } catch (error) {
      return err(this.recordFailure(address, error, limit.signal.aborted, ms));
    } finally {
      limit.release();
    }
  }

  private recordFailure(address: string, error: unknown, timedOut: boolean, ms: number): Fault {
    const problem = timedOut ? timeoutFault(address, error) : faultOf(error);
    if (address === this.preferred) this.preferred = '';
    if (isTransportFault(problem)) this.addresses.recordFailure(address);
    // A connection can stop delivering data while new ones work, so a silent one is closed and opened again. One on
    // which another call was answered meanwhile is kept.
    const isConnectionSilent =
      timedOut && ms >= this.attemptMs && this.addresses.unansweredMs(address) >= ATTEMPT_TIMEOUT_MS;
    if (isConnectionSilent) this.dropConnection(address);
    return problem;
  }

  private dropConnection(address: string): void {
    this.options.peers.drop(address);
    this.addresses.recordDisconnect(address);
  }
}

function timeoutFault(address: string, cause: unknown): Fault {
  return fault('deadline-exceeded', `${address} did not answer in time`, { ran: 'may-have-run', cause });
}

const transportFaults = new Set<string>(['target-unreachable', 'target-lost', 'deadline-exceeded']);

function isTransportFault(problem: Fault): boolean {
  return transportFaults.has(problem.kind);
}

const retryableKinds = new Set<string>([
  ...transportFaults,
  'not-leader',
  'no-quorum',
  'stopping',
  'storage-failed',
]);

/** Whether another instance may succeed. A decision of the service itself is final. */
function isRetryable(problem: Fault): boolean {
  return retryableKinds.has(problem.kind);
}

function withRan(last: Fault, mayHaveRun: boolean): Fault {
  return mayHaveRun && last.ran === 'not-run' ? { ...last, ran: 'may-have-run' } : last;
}
