/**
 * Trials of doubtful requests, granted by a quorum of control instances: each trial to one entry only, and one of a service at a
 * time, so that its outcome is due to its request.
 */
import { silentMetrics } from '@jasmineroute/core';
import type { Clock, Fault, Log } from '@jasmineroute/core';
import { ControlClient, TurnClient } from '@jasmineroute/directory';
import type { TakeRequest } from '@jasmineroute/directory';
import type { Peers } from '@jasmineroute/protocol';
import { relayEvents } from '../events.js';

/**
 * Lease of a trial and of a turn, milliseconds, renewed while the trial runs. Control may grant one so late that its entry does
 * not learn of it, and the request waits for so long then.
 */
const LEASE_MS = 3_000;
const RENEWAL_INTERVAL_MS = 1_000;

/** Lease of a trial that counts, milliseconds: until all entries know that it was sent. */
const SENT_LEASE_MS = 10_000;

/** Time within which control grants a lease, milliseconds: the caller waits meanwhile. */
const TAKE_TIMEOUT_MS = 1_000;

/** Time after which another control instance is asked, milliseconds. */
const ATTEMPT_TIMEOUT_MS = 400;

/** Time after which this entry asks for another trial of a request, milliseconds. */
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
  /** Differs from that of every other trial. */
  readonly id: string;
  /** Ends the trial. @param counts whether it counts against the request; otherwise it may be granted again. */
  end(counts: boolean): void;
}

/** A request, or a part of its prompt, whose trial is asked for. */
export interface TrialRequest {
  /** Fingerprint. */
  readonly request: string;
  readonly service: string;
  /** Number of this trial of the request or part. */
  readonly number: number;
  /** Whether no other trial of the service may run meanwhile. */
  readonly needsTurn: boolean;
}

type Lease = Pick<TakeRequest, 'name' | 'holder' | 'incarnation'>;

/** Takes and releases the leases of trials. */
export class Trials {
  /** Requests of which a trial was asked for lately. */
  private readonly asked = new Set<string>();
  private readonly turns: TurnClient;
  private count = 0;

  constructor(private readonly parts: TrialsParts) {
    const { controls, peers, clock } = parts;
    const options = { controls, peers, clock, metrics: silentMetrics, attemptMs: ATTEMPT_TIMEOUT_MS };
    this.turns = new TurnClient(new ControlClient(options));
  }

  /**
   * A trial of one sending, if no other entry has that of any of what is tried by it. Asked for at intervals only: callers may
   * repeat at once.
   */
  async take(tried: readonly TrialRequest[]): Promise<Trial | undefined> {
    const { clock, log } = this.parts;
    const key = tried.map(({ request }) => request).join();
    if (this.asked.has(key)) return undefined;
    this.asked.add(key);
    clock.after(ASK_INTERVAL_MS, () => this.asked.delete(key));
    const turns = new Set(
      tried.filter(({ needsTurn }) => needsTurn).map(({ service }) => `trials of ${service}`),
    );
    const names = tried.map(({ request, number }) => `trial/${request}/${number}`);
    const leases = await this.takeAll([...turns, ...names.sort()]);
    for (const { request, number, needsTurn } of tried)
      log.event(relayEvents.trial, { request, number, needsTurn, isGranted: leases !== undefined });
    return leases === undefined ? undefined : this.start(leases, turns.size);
  }

  /** Takes leases one after the other, always in the same order; none if one of them is not granted. */
  private async takeAll(names: readonly string[]): Promise<Lease[] | undefined> {
    const leases: Lease[] = [];
    for (const name of names) {
      const lease = await this.takeLease(name);
      if (lease !== undefined) {
        leases.push(lease);
        continue;
      }
      for (const taken of leases) this.release(taken);
      return undefined;
    }
    return leases;
  }

  /** Renews the leases of a trial until its end. @param turns number of the leases that are turns, the first ones. */
  private start(leases: readonly Lease[], turns: number): Trial {
    const renewed = leases.map((lease, at) => ({ lease, isTurn: at < turns, end: this.renew(lease) }));
    return {
      id: leases.map(({ holder, incarnation }) => `${holder}/${incarnation}`).at(-1) ?? '',
      end: (counts) => {
        for (const { lease, isTurn, end } of renewed)
          void end().then(() => {
            if (counts && !isTurn) void this.request(lease, SENT_LEASE_MS);
            else this.release(lease);
          });
      },
    };
  }

  /** Renews a lease. @returns a function that ends this, and resolves when no renewal is under way. */
  private renew(lease: Lease): () => Promise<void> {
    const { clock } = this.parts;
    let last: Promise<unknown> = Promise.resolve();
    const renew = (): void => {
      cancel = clock.after(RENEWAL_INTERVAL_MS, renew);
      last = this.request(lease, LEASE_MS);
    };
    let cancel = clock.after(RENEWAL_INTERVAL_MS, renew);
    return async () => {
      cancel();
      await last;
    };
  }

  private async takeLease(name: string): Promise<Lease | undefined> {
    const { name: entry, incarnation } = this.parts;
    this.count += 1;
    // A holder that asks again renews its lease, so each trial has a holder of its own.
    const lease = { name, holder: `${entry}/${this.count}`, incarnation };
    const isGranted = await this.request(lease, LEASE_MS);
    if (isGranted === undefined) this.release(lease);
    return isGranted === true ? lease : undefined;
  }

  /** Asks control for a lease. @returns whether it is granted; undefined: not known. */
  private async request(lease: Lease, ttlMs: number): Promise<boolean | undefined> {
    const answer = await this.turns.take({ ...lease, limit: 1, ttlMs }, TAKE_TIMEOUT_MS);
    if (answer.isOk()) return answer.value.granted;
    this.logFailure(lease, answer.error);
    return undefined;
  }

  private release(lease: Lease): void {
    void this.turns.release(lease, TAKE_TIMEOUT_MS).then((released) => {
      if (released.isErr()) this.logFailure(lease, released.error);
    });
  }

  private logFailure({ name }: Lease, { message }: Fault): void {
    this.parts.log.event(relayEvents.leaseFailed, { lease: name, problem: message });
  }
}
