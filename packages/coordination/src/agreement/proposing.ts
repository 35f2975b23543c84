/** Forwards commands and queries from any replica to the leader, and reports whether a failed command may have run. */
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
import type { QuorumRead, ReadPoint } from './quorumRead.js';
import type { Replica } from './replica.js';

/** Timeout at the leader for a command that another replica forwarded. */
const MAX_FORWARDED_MS = 30_000;

/** Pause before the next attempt when there is no leader or the leader has changed. */
const RETRY_MS = 50;

/** Dependencies of `Proposing`. */
export interface ProposingContext {
  readonly replica: Replica;
  readonly peers: PeerClient;
  readonly joining: Joining;
  readonly leadership: () => Leadership | undefined;
  readonly quorumRead: QuorumRead;
  /** Answers a query once all entries up to an index are applied; undefined on timeout. */
  readonly query: (
    command: Uint8Array,
    index: () => bigint,
    timeoutMs: number,
  ) => Promise<Uint8Array | undefined>;
}

/** A command or query for the leader. */
interface Submission {
  readonly command: Uint8Array;
  /** Whether it is answered from the leader's state, without an entry in the log. */
  readonly query: boolean;
}

/** Submits commands and queries on one replica. */
export class Proposing {
  constructor(private readonly context: ProposingContext) {}

  /**
   * Submits a command to the leader and waits for its result. Retries until `timeoutMs` has passed, as long as the command
   * has certainly not run.
   */
  propose(command: Uint8Array, timeoutMs: number): Promise<Outcome> {
    return this.submit({ command, query: false }, timeoutMs);
  }

  /**
   * Submits a read-only command to the leader. It does not wait for other commands and adds no entry to the log; it only
   * requires that a quorum answers a message that the leader, or this replica, sent after the call.
   */
  query(command: Uint8Array, timeoutMs: number): Promise<Outcome> {
    const fromLeader = this.submit({ command, query: true }, timeoutMs);
    return new Promise((resolve, reject) => {
      const fromQuorum = this.queryQuorum(command, timeoutMs).then((answer) => {
        if (answer !== undefined) resolve(ok(answer));
      });
      fromLeader.then((outcome) => {
        if (outcome.isOk()) resolve(outcome);
      }, reject);
      Promise.all([fromLeader, fromQuorum]).then(([outcome]) => {
        resolve(outcome);
      }, reject);
    });
  }

  private async submit(submission: Submission, timeoutMs: number): Promise<Outcome> {
    const { replica } = this.context;
    const deadline = replica.clock.monotonic() + timeoutMs;
    let lastOutcome: Outcome = err(fault('no-quorum', 'no leader in time', { ran: 'not-run' }));
    for (;;) {
      const remainingMs = deadline - replica.clock.monotonic();
      if (remainingMs <= 0) return lastOutcome;
      if (replica.stopped) return err(fault('stopping', 'the replica was closed'));
      const outcome = await this.attempt(submission, remainingMs);
      if (outcome !== undefined) {
        const isFinal = outcome.isOk() || outcome.error.ran !== 'not-run' || !isTransient(outcome.error.kind);
        if (isFinal) return outcome;
        lastOutcome = outcome;
      }
      await replica.changed.waitFor(replica.clock, Math.min(RETRY_MS, remainingMs));
    }
  }

  /**
   * Probes the connection to the leader periodically until the replica stops. A forwarded command may wait long for a quorum,
   * so its timeout can't detect a dead connection, and the caller would not learn its outcome. A short call that times out
   * drops the connection, which ends the calls on it.
   */
  async probeLeader(): Promise<void> {
    const { replica, joining } = this.context;
    while (!replica.stopped) {
      const address = this.leaderAddress();
      if (address !== undefined) await joining.identify(address);
      await replica.clock.sleep(replica.tuning.rpcTimeoutMs);
    }
  }

  /** Answers a command that another replica forwarded; never forwards it again. */
  async answer({ command, query }: Submission): Promise<ProposeResponse> {
    const { replica } = this.context;
    const leader = replica.leader ?? '';
    if (replica.stopped) return create(ProposeResponseSchema, { redirected: true, leader });
    const outcome = await this.executeLocally({ command, query }, MAX_FORWARDED_MS);
    if (outcome === undefined) return create(ProposeResponseSchema, { redirected: true, leader });
    if (outcome.isOk()) return create(ProposeResponseSchema, { result: outcome.value });
    const isNotRun = outcome.error.ran === 'not-run';
    return create(ProposeResponseSchema, { redirected: isNotRun, leader, unknown: !isNotRun });
  }

  /** Makes one attempt; undefined when no leader is known. */
  private async attempt(submission: Submission, timeoutMs: number): Promise<Outcome | undefined> {
    const { replica } = this.context;
    if (replica.role === 'leader') return this.executeLocally(submission, timeoutMs);
    const address = this.leaderAddress();
    return address === undefined ? undefined : this.forward(address, submission, timeoutMs);
  }

  /**
   * Answers a query without the leader; undefined when no quorum answers in time. Through the leader it takes two more messages, and
   * a busy or lost leader answers late or never.
   */
  private async queryQuorum(command: Uint8Array, timeoutMs: number): Promise<Uint8Array | undefined> {
    const { replica, quorumRead, query } = this.context;
    const { clock } = replica;
    const deadline = clock.monotonic() + timeoutMs;
    while (!replica.stopped && clock.monotonic() < deadline) {
      // The leader asks the same replicas itself.
      const point = replica.role === 'leader' ? undefined : await this.readPoint(deadline);
      const remainingMs = deadline - clock.monotonic();
      const answer = point === undefined ? undefined : await query(command, point.index, remainingMs);
      if (answer !== undefined && point !== undefined && quorumRead.isCurrent(point)) return answer;
      await clock.sleep(RETRY_MS);
    }
    return undefined;
  }

  /** What a read has to reflect; undefined without answers of a quorum until the deadline. */
  private readPoint(deadline: number): Promise<ReadPoint | undefined> {
    const { replica, quorumRead } = this.context;
    return new Promise((resolve, reject) => {
      const cancel = replica.clock.after(deadline - replica.clock.monotonic(), () => {
        resolve(undefined);
      });
      quorumRead.point().then((point) => {
        cancel();
        resolve(point);
      }, reject);
    });
  }

  private leaderAddress(): string | undefined {
    const { replica } = this.context;
    return replica.others.find(({ name }) => name === replica.leader)?.address;
  }

  private async executeLocally(
    { command, query }: Submission,
    timeoutMs: number,
  ): Promise<Outcome | undefined> {
    const leadership = this.context.leadership();
    if (leadership?.isActive !== true) return undefined;
    return query
      ? this.queryLocally(leadership, command, timeoutMs)
      : this.proposeLocally(leadership, command, timeoutMs);
  }

  private async queryLocally(
    leadership: Leadership,
    command: Uint8Array,
    timeoutMs: number,
  ): Promise<Outcome> {
    const { clock } = this.context.replica;
    const deadline = clock.monotonic() + timeoutMs;
    const index = await leadership.readIndex(timeoutMs);
    if (index === undefined) return notConfirmed();
    const answer = await this.context.query(command, () => index, deadline - clock.monotonic());
    return answer === undefined ? notConfirmed() : ok(answer);
  }

  private async proposeLocally(
    leadership: Leadership,
    command: Uint8Array,
    timeoutMs: number,
  ): Promise<Outcome> {
    const { replica } = this.context;
    const startedAt = replica.clock.monotonic();
    const outcome = await new Promise<Outcome>((resolve) => {
      const cancel = replica.clock.after(timeoutMs, () => {
        resolve(unknownOutcome('no quorum in time'));
      });
      const settle = (settled: Outcome): void => {
        cancel();
        resolve(settled);
      };
      leadership.propose({ command, settle });
    });
    if (outcome.isOk()) {
      replica.metrics.timing(coordinationMetrics.commit, replica.clock.monotonic() - startedAt);
    }
    return outcome;
  }

  private async forward(address: string, submission: Submission, timeoutMs: number): Promise<Outcome> {
    const { peers, replica } = this.context;
    const request = create(ProposeRequestSchema, submission);
    const answer = await peers.call(address, (client, signal) => client.propose(request, { signal }), {
      timeoutMs,
    });
    if (answer.isErr()) {
      const isUnsent = answer.error.kind === 'target-unreachable';
      if (isUnsent) replica.changed.notify();
      if (isUnsent) return err(answer.error);
      const { kind, message } = answer.error;
      const isLost = kind === 'target-lost';
      return submission.query && isLost ? unanswered(message) : unknownOutcome(message, answer.error);
    }
    const { result, redirected, unknown } = answer.value;
    if (unknown) return unknownOutcome('the leader could not confirm whether the command was committed');
    if (redirected) return err(fault('not-leader', `${address} is not the leader`, { ran: 'not-run' }));
    return ok(result);
  }
}

/** A query is read-only, so without an answer it counts as not run. */
const unanswered = (reason: string): Outcome => err(fault('no-quorum', reason, { ran: 'not-run' }));

const notConfirmed = (): Outcome => unanswered('no quorum confirmed the leader in time');

/** Whether another attempt may succeed after an error of this kind. */
const isTransient = (kind: string): boolean => kind !== 'storage-failed';
