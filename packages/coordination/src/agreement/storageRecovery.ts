/** Tries again and again to make the failing storage of a replica work. */
import { CORRUPT } from '../storage/index.js';
import type { Snapshot } from '../storage/index.js';
import type { Waiters } from './proposal.js';
import type { Replica } from './replica.js';

/** Recovers the storage of one replica. */
export class StorageRecovery {
  private pauseMs: number;
  private recoveredAt = -Infinity;

  constructor(
    private readonly replica: Replica,
    private readonly restore: (snapshot: Snapshot) => void,
    private readonly waiters: Waiters,
  ) {
    this.pauseMs = replica.tuning.storageRetryMs;
  }

  /** Runs until the replica stops. @throws when the folder does not hold what was synced. */
  async run(): Promise<void> {
    const { replica } = this;
    while (!replica.stopped) {
      if (replica.storageHealth.failure === undefined) await replica.changed.wait();
      else await this.recover();
    }
  }

  /** Pauses, tries once, and doubles the pause. */
  private async recover(): Promise<void> {
    const { replica } = this;
    const { storageRetryMs, maxStorageRetryMs, storageRestMs } = replica.tuning;
    const now = replica.clock.monotonic();
    // A disk that takes a small write and refuses the next long one fails again at once.
    if (now - this.recoveredAt >= storageRestMs) this.pauseMs = storageRetryMs;
    this.recoveredAt = Infinity;
    await this.pause(now + this.pauseMs);
    this.pauseMs = Math.min(this.pauseMs * 2, maxStorageRetryMs);
    const probed = await replica.storage.probe();
    if (probed.isErr()) replica.storageHealth.recordFailure(probed.error);
    else await replica.exclusive(() => this.attempt());
  }

  private async pause(until: number): Promise<void> {
    const { replica } = this;
    for (;;) {
      const remainingMs = until - replica.clock.monotonic();
      if (replica.stopped || remainingMs <= 0) return;
      await replica.changed.waitFor(replica.clock, remainingMs);
    }
  }

  private async attempt(): Promise<void> {
    const { replica } = this;
    if (replica.stopped) return;
    const recovered = await replica.recoverStorage();
    if (recovered.isOk()) {
      this.recoveredAt = replica.clock.monotonic();
      if (recovered.value !== undefined) this.restore(recovered.value);
      this.waiters.storageRecovered();
      return;
    }
    if (recovered.error.code === CORRUPT) throw new Error(recovered.error.message);
  }
}
