/** Logs and counts lost voters while there is still a quorum without them. */
import { coordinationEvents } from '../events.js';
import { coordinationMetrics } from '../metrics.js';
import { quorumOf } from './configuration.js';
import type { Leadership } from './leadership.js';

/**
 * Monitors the voters on the leader. Without it a lost voter would go unnoticed until the next loss breaks the quorum, as
 * commands are committed normally until then.
 */
export class VoterMonitor {
  /** Ids of the voters that were logged as silent. */
  private readonly silent = new Set<string>();
  private hasTooFewVoters = false;

  constructor(private readonly leadership: Leadership) {}

  /** Updates the gauge of spare voters, and logs the changes since the last check. */
  check(): void {
    const { replica } = this.leadership.context;
    const voters = replica.configuration?.voters ?? [];
    const lost = voters.filter(({ replicaId }) => this.leadership.isSilent(replicaId));
    const spare = voters.length - lost.length - quorumOf(voters.length);
    replica.metrics.gauge(coordinationMetrics.spareVoters, spare);
    this.warnIfTooFewVoters(voters.length);
    for (const { name, replicaId } of voters) {
      const isLost = lost.some((voter) => voter.replicaId === replicaId);
      if (isLost === this.silent.has(replicaId)) continue;
      if (isLost) this.silent.add(replicaId);
      else this.silent.delete(replicaId);
      const event = isLost ? coordinationEvents.voterUnresponsive : coordinationEvents.voterResponsive;
      replica.log.event(event, { name, voters: voters.length, spare });
    }
  }

  /** Warns when `lossesToBear` losses would break the quorum: a quorum is left only with more than twice as many voters. */
  private warnIfTooFewVoters(voters: number): void {
    const { replica } = this.leadership.context;
    const { lossesToBear } = replica.tuning;
    const hasTooFewVoters = voters <= 2 * lossesToBear;
    if (hasTooFewVoters && !this.hasTooFewVoters) {
      replica.log.event(coordinationEvents.tooFewVoters, { voters, lossesToBear });
    }
    this.hasTooFewVoters = hasTooFewVoters;
  }
}
