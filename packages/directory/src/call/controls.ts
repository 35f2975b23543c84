/** Unary calls to whichever control instance answers. */
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

/** Longest wait for one instance before the next one is asked, in milliseconds, unless the caller wishes otherwise. */
const ATTEMPT_MS = 1_500;
/** Shortest wait that makes an attempt worth sending. */
const LEAST_ATTEMPT_MS = 20;
/** Pause before the addresses are gone through again. */
const ROUND_PAUSE_MS = 100;

/** What the helper needs. */
export interface ControlsOptions {
  readonly controls: readonly string[];
  readonly peers: Peers;
  readonly clock: Clock;
  readonly metrics: Metrics;
  /** Shared with the directory client, so that both know which instances fail. */
  readonly addresses?: ControlAddresses;
  readonly dataCentre?: string;
  /** Longest wait for one instance before the next one is asked, milliseconds. */
  readonly attemptMs?: number;
}

/** One call over a transport. It must carry what makes a resend harmless, as an attempt's id. */
export type ControlCall<T> = (transport: Transport, signal: AbortSignal) => Promise<T>;

/** Calls with fail-over, and the truth about whether a failed call ran. */
export class Controls {
  private readonly addresses: ControlAddresses;
  private preferred = '';
  private readonly attemptMs: number;

  constructor(private readonly options: ControlsOptions) {
    this.attemptMs = options.attemptMs ?? ATTEMPT_MS;
    this.addresses =
      options.addresses ?? new ControlAddresses(options.controls, () => options.clock.monotonic());
  }

  /** Asks an instance before all others, until it fails; an address that isn't known is left aside. */
  prefer(address: string): void {
    if (address !== '') this.preferred = address;
  }

  /**
   * Asks one instance after the other until one answers or `timeoutMs` have passed.
   * @returns the answer; or the last fault, whose `ran` is 'not-run' only if that holds for every attempt.
   */
  async call<T>(call: ControlCall<T>, timeoutMs: number): Promise<Result<T, Fault>> {
    const { clock } = this.options;
    const deadline = clock.monotonic() + timeoutMs;
    const left = (): number => deadline - clock.monotonic();
    let last = fault('no-quorum', 'no control instance is known');
    let mayHaveRun = false;
    while (left() > LEAST_ATTEMPT_MS) {
      for (const address of this.order()) {
        if (left() <= LEAST_ATTEMPT_MS) break;
        const outcome = await this.attempt(address, call, Math.min(left(), this.attemptMs));
        if (outcome.isOk()) return ok(outcome.value);
        last = outcome.error;
        mayHaveRun ||= last.ran !== 'not-run';
        if (!movesOn(last)) return err(settled(last, mayHaveRun));
        this.options.metrics.count(directoryMetrics.callRetries);
      }
      await clock.sleep(Math.min(ROUND_PAUSE_MS, Math.max(0, left())));
    }
    return err(settled(last, mayHaveRun));
  }

  private order(): string[] {
    const order = this.addresses.order(this.options.dataCentre);
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
      return err(this.failed(address, error, limit.signal.aborted, ms));
    } finally {
      limit.release();
    }
  }

  private failed(address: string, error: unknown, silent: boolean, ms: number): Fault {
    const problem = silent ? noAnswer(address, error) : faultOf(error);
    if (address === this.preferred) this.preferred = '';
    if (isTransportFault(problem)) this.addresses.recordFailure(address);
    // A connection can go silent for good while new ones work: only a new one can tell. One on which
    // something else was heard meanwhile is left to its other calls.
    const dead = silent && ms >= this.attemptMs && this.addresses.unansweredMs(address) >= ATTEMPT_MS;
    if (dead) this.drop(address);
    return problem;
  }

  private drop(address: string): void {
    this.options.peers.drop(address);
    this.addresses.recordDisconnect(address);
  }
}

function noAnswer(address: string, cause: unknown): Fault {
  return fault('deadline-exceeded', `${address} did not answer in time`, { ran: 'may-have-run', cause });
}

const transportFaults = new Set<string>(['target-unreachable', 'target-lost', 'deadline-exceeded']);

function isTransportFault(problem: Fault): boolean {
  return transportFaults.has(problem.kind);
}

const movingKinds = new Set<string>([
  ...transportFaults,
  'not-leader',
  'no-quorum',
  'stopping',
  'storage-failed',
]);

/** Whether another instance may do better; what the service decided stands. */
function movesOn(problem: Fault): boolean {
  return movingKinds.has(problem.kind);
}

function settled(last: Fault, mayHaveRun: boolean): Fault {
  return mayHaveRun && last.ran === 'not-run' ? { ...last, ran: 'may-have-run' } : last;
}
