/** Tells of voters that are lost, while there still is a quorum without them. */
import { coordinationEvents } from '../events.js';
import { coordinationMetrics } from '../metrics.js';
import { quorumOf } from './configuration.js';
import type { Leadership } from './leadership.js';

/**
 * A leader's watch over the voters. Without it the first sign of a lost voter is the loss of the quorum, when one more is
 * lost: until then all that was proposed is committed.
 */
export class VoterWatch {
  /** Ids of voters that were told to be silent. */
  private readonly silent = new Set<string>();
  private isShort = false;

  constructor(private readonly leadership: Leadership) {}

  /** Looks now; tells what changed since the last look. */
  look(): void {
    const { replica } = this.leadership.parts;
    const voters = replica.configuration?.voters ?? [];
    const lost = voters.filter(({ replicaId }) => this.leadership.isSilent(replicaId));
    const spare = voters.length - lost.length - quorumOf(voters.length);
    replica.metrics.gauge(coordinationMetrics.spareVoters, spare);
    this.warnIfTooFew(voters.length);
    for (const { name, replicaId } of voters) {
      const isLost = lost.some((voter) => voter.replicaId === replicaId);
      if (isLost === this.silent.has(replicaId)) continue;
      if (isLost) this.silent.add(replicaId);
      else this.silent.delete(replicaId);
      const kind = isLost ? coordinationEvents.voterSilent : coordinationEvents.voterAnswers;
      replica.log.event(kind, { name, voters: voters.length, spare });
    }
  }

  /** Of n voters a quorum is left after so many losses only if n is more than twice as many. */
  private warnIfTooFew(voters: number): void {
    const { replica } = this.leadership.parts;
    const { lossesToBear } = replica.tuning;
    const isShort = voters <= 2 * lossesToBear;
    if (isShort && !this.isShort) {
      replica.log.event(coordinationEvents.tooFewVoters, { voters, lossesToBear });
    }
    this.isShort = isShort;
  }
}
