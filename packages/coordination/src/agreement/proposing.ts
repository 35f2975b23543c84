/** Commands from any replica to the leader, with a truthful account of those that fail. */
import { create } from '@bufbuild/protobuf';
import { fault } from '@jasmineroute/core';
import { err, ok } from 'neverthrow';
import { ProposeRequestSchema, ProposeResponseSchema } from '../gen/agreement/agreement_pb.js';
import type { ProposeResponse } from '../gen/agreement/agreement_pb.js';
import { coordinationMetrics } from '../metrics.js';
import type { Joining } from './joining.js';
import type { Leadership } from './leadership.js';
import type { PeerClient } from './peerClient.js';
import { unknownOutcome } from './proposal.js';
import type { Outcome } from './proposal.js';
import type { Replica } from './replica.js';

/** Longest time that a leader works on another replica's command. */
const MAX_FORWARDED_MS = 30_000;

/** Pause before the next attempt when there is no leader or it has changed. */
const RETRY_MS = 50;

/** What proposing needs. */
export interface ProposingParts {
  readonly replica: Replica;
  readonly peers: PeerClient;
  readonly joining: Joining;
  readonly leadership: () => Leadership | undefined;
  /** Answers a query once all up to an index is applied; undefined when that takes too long. */
  readonly query: (command: Uint8Array, index: bigint, timeoutMs: number) => Promise<Uint8Array | undefined>;
}

/** What is brought to the leader. */
interface Brought {
  readonly command: Uint8Array;
  /** Answered from the state of the leader, without a place in the log. */
  readonly query: boolean;
}

/** Takes commands at one replica. */
export class Proposing {
  constructor(private readonly parts: ProposingParts) {}

  /**
   * Brings a command to the leader and waits for its result. As long as it surely did not run, it is tried
   * again, until `timeoutMs` is over.
   */
  propose(command: Uint8Array, timeoutMs: number): Promise<Outcome> {
    return this.bring({ command, query: false }, timeoutMs);
  }

  /**
   * Has the leader answer a command that changes nothing. It waits behind no other command, and needs no room in the log: only
   * that a quorum answers a message of the leader's that was sent after the call.
   */
  query(command: Uint8Array, timeoutMs: number): Promise<Outcome> {
    return this.bring({ command, query: true }, timeoutMs);
  }

  private async bring(brought: Brought, timeoutMs: number): Promise<Outcome> {
    const { replica } = this.parts;
    const end = replica.clock.monotonic() + timeoutMs;
    let last: Outcome = err(fault('no-quorum', 'no leader in time', { ran: 'not-run' }));
    for (;;) {
      const left = end - replica.clock.monotonic();
      if (left <= 0) return last;
      if (replica.stopped) return err(fault('stopping', 'the replica closed'));
      const outcome = await this.attempt(brought, left);
      if (outcome !== undefined) {
        const isFinal = outcome.isOk() || outcome.error.ran !== 'not-run' || !isTransient(outcome.error.kind);
        if (isFinal) return outcome;
        last = outcome;
      }
      await replica.changed.waitFor(replica.clock, Math.min(RETRY_MS, left));
    }
  }

  /**
   * Keeps an eye on the connection to the leader. A command may wait long for a quorum, so a wait says nothing
   * of the connection, and one that went silent while idle would cost a caller the outcome of its command. A
   * short call now and then finds out: without an answer, the connection is dropped and calls on it end.
   */
  async watchLeader(): Promise<void> {
    const { replica, joining } = this.parts;
    while (!replica.stopped) {
      const address = this.leaderAddress();
      if (address !== undefined) await joining.ask(address);
      await replica.clock.sleep(replica.tuning.rpcTimeoutMs);
    }
  }

  /** Answers a command that another replica forwarded; never forwards it once more. */
  async answer({ command, query }: Brought): Promise<ProposeResponse> {
    const { replica } = this.parts;
    const leader = replica.leader ?? '';
    if (replica.stopped) return create(ProposeResponseSchema, { redirected: true, leader });
    const outcome = await this.local({ command, query }, MAX_FORWARDED_MS);
    if (outcome === undefined) return create(ProposeResponseSchema, { redirected: true, leader });
    if (outcome.isOk()) return create(ProposeResponseSchema, { result: outcome.value });
    const isNotRun = outcome.error.ran === 'not-run';
    return create(ProposeResponseSchema, { redirected: isNotRun, leader, unknown: !isNotRun });
  }

  /** One attempt; undefined when there is no leader to try. */
  private attempt(brought: Brought, timeoutMs: number): Promise<Outcome | undefined> {
    const { replica } = this.parts;
    if (replica.role === 'leader') return this.local(brought, timeoutMs);
    const address = this.leaderAddress();
    return address === undefined ? Promise.resolve(undefined) : this.forward(address, brought, timeoutMs);
  }

  private leaderAddress(): string | undefined {
    const { replica } = this.parts;
    return replica.others.find(({ name }) => name === replica.leader)?.address;
  }

  private async local({ command, query }: Brought, timeoutMs: number): Promise<Outcome | undefined> {
    const current = this.parts.leadership();
    if (current?.isActive !== true) return undefined;
    return query ? this.ask(current, command, timeoutMs) : this.commit(current, command, timeoutMs);
  }

  private async ask(current: Leadership, command: Uint8Array, timeoutMs: number): Promise<Outcome> {
    const { clock } = this.parts.replica;
    const endsAt = clock.monotonic() + timeoutMs;
    const index = await current.confirm(timeoutMs);
    if (index === undefined) return notConfirmed();
    const answer = await this.parts.query(command, index, endsAt - clock.monotonic());
    return answer === undefined ? notConfirmed() : ok(answer);
  }

  private async commit(current: Leadership, command: Uint8Array, timeoutMs: number): Promise<Outcome> {
    const { replica } = this.parts;
    const begunAt = replica.clock.monotonic();
    const outcome = await new Promise<Outcome>((resolve) => {
      const cancel = replica.clock.after(timeoutMs, () => {
        resolve(unknownOutcome('no quorum in time'));
      });
      const settle = (settled: Outcome): void => {
        cancel();
        resolve(settled);
      };
      current.propose({ command, settle });
    });
    if (outcome.isOk()) {
      replica.metrics.timing(coordinationMetrics.commit, replica.clock.monotonic() - begunAt);
    }
    return outcome;
  }

  private async forward(address: string, brought: Brought, timeoutMs: number): Promise<Outcome> {
    const { peers, replica } = this.parts;
    const request = create(ProposeRequestSchema, brought);
    const answer = await peers.call(address, (client, signal) => client.propose(request, { signal }), {
      timeoutMs,
    });
    if (answer.isErr()) {
      const isUnsent = answer.error.kind === 'target-unreachable';
      if (isUnsent) replica.changed.notify();
      return isUnsent ? err(answer.error) : unknownOutcome(answer.error.message, answer.error);
    }
    const { result, redirected, unknown } = answer.value;
    if (unknown) return unknownOutcome('the leader lost its quorum');
    if (redirected) return err(fault('not-leader', `${address} does not lead`, { ran: 'not-run' }));
    return ok(result);
  }
}

/** A query changes nothing, so it is known not to have run when it was not answered. */
const notConfirmed = (): Outcome =>
  err(fault('no-quorum', 'no quorum confirmed the leader in time', { ran: 'not-run' }));

/** Kinds after which another attempt can succeed within the caller's time. */
const isTransient = (kind: string): boolean => kind !== 'storage-failed';
