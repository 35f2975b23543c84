/**
 * Trials of doubtful requests, granted by a quorum of control instances: each trial to one entry only, and one of a service at a
 * time, so that its outcome is due to its request.
 */
import { silentMetrics } from '@jasmineroute/core';
import type { Clock, Log } from '@jasmineroute/core';
import { ControlClient, TurnClient } from '@jasmineroute/directory';
import type { TakeRequest } from '@jasmineroute/directory';
import type { Peers } from '@jasmineroute/protocol';
import { relayEvents } from '../events.js';

/** Lease of a trial, milliseconds: the longest that control grants. A trial that crashes its target is not granted again. */
const TRIAL_LEASE_MS = 600_000;

/** Lease of a service's turn to run a trial, milliseconds: the longest for which the loss of an entry holds up others. */
const TURN_LEASE_MS = 10_000;

/** Time within which control answers, milliseconds: the caller waits meanwhile. */
const CALL_TIMEOUT_MS = 400;

/** Time after which this entry asks for the same trial again, milliseconds. */
const ASK_INTERVAL_MS = 2_000;

/** Dependencies of the trials. */
export interface TrialsParts {
  /** Name and incarnation of this entry. */
  readonly name: string;
  readonly incarnation: bigint;
  /** All known control instances, host:port. */
  readonly controls: () => readonly string[];
  readonly peers: Peers;
  readonly clock: Clock;
  readonly log: Log;
}

/** A trial that this entry runs. */
export interface Trial {
  /** Ends the trial. One that did not run may be granted again. */
  end(hasRun: boolean): void;
}

/** A request whose trial is asked for. */
export interface TrialRequest {
  /** Fingerprint. */
  readonly request: string;
  readonly service: string;
  /** Number of this trial of the request. */
  readonly number: number;
  /** Whether no other trial of the service may run meanwhile. */
  readonly needsTurn: boolean;
}

type Lease = Pick<TakeRequest, 'name' | 'holder' | 'incarnation'>;

/** Takes and releases the leases of trials. */
export class Trials {
  /** Names of trials that were asked for lately. */
  private readonly asked = new Set<string>();
  private count = 0;

  constructor(private readonly parts: TrialsParts) {}

  /** A trial, if no other entry has it. Asked for at intervals only: callers may repeat at once. */
  async take({ request, service, number, needsTurn }: TrialRequest): Promise<Trial | undefined> {
    const { clock, log } = this.parts;
    const name = `trial/${request}/${number}`;
    if (this.asked.has(name)) return undefined;
    this.asked.add(name);
    clock.after(ASK_INTERVAL_MS, () => this.asked.delete(name));
    const turn = needsTurn ? await this.takeLease(`trials of ${service}`, TURN_LEASE_MS) : undefined;
    const mayRun = turn !== undefined || !needsTurn;
    const trial = mayRun ? await this.takeLease(name, TRIAL_LEASE_MS) : undefined;
    log.event(relayEvents.trial, { request, number, needsTurn, isGranted: trial !== undefined });
    if (trial === undefined) {
      if (turn !== undefined) this.release(turn);
      return undefined;
    }
    return {
      end: (hasRun) => {
        if (turn !== undefined) this.release(turn);
        if (!hasRun) this.release(trial);
      },
    };
  }

  private async takeLease(name: string, ttlMs: number): Promise<Lease | undefined> {
    const { name: entry, incarnation } = this.parts;
    this.count += 1;
    // A holder that asks again renews its lease, so each trial has a holder of its own.
    const lease = { name, holder: `${entry}/${this.count}`, incarnation };
    const taken = await this.client().take({ ...lease, limit: 1, ttlMs }, CALL_TIMEOUT_MS);
    if (taken.isErr()) this.parts.log.event(relayEvents.leaseFailed, { name, problem: taken.error.message });
    return taken.isOk() && taken.value.granted ? lease : undefined;
  }

  private release(lease: Lease): void {
    void this.client()
      .release(lease, CALL_TIMEOUT_MS)
      .then((released) => {
        if (released.isOk()) return;
        this.parts.log.event(relayEvents.leaseFailed, { name: lease.name, problem: released.error.message });
      });
  }

  private client(): TurnClient {
    const { controls, peers, clock } = this.parts;
    return new TurnClient(new ControlClient({ controls: controls(), peers, clock, metrics: silentMetrics }));
  }
}
