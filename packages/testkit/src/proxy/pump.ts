/** One direction of one proxied connection: bytes in order, late, paced, or lost. */
import type { Socket } from 'node:net';
import { systemClock } from '@jasmineroute/core';
import type { LinkCondition } from './fault.js';

/** Bytes held back before reading pauses. */
const HELD_BYTES = 256 * 1024;

interface Piece {
  readonly bytes: Buffer;
  readonly due: number;
}

/** Copies from one socket to the other under the link's condition. */
export class Pump {
  private readonly pieces: Piece[] = [];
  private held = 0;
  private sourceEnded = false;
  private lost = false;
  private running = false;
  private free = 0;

  constructor(
    private readonly from: Socket,
    private readonly to: Socket,
    private readonly condition: () => LinkCondition,
  ) {
    from.on('data', (bytes: Buffer) => {
      this.take(bytes);
    });
    from.on('end', () => {
      this.sourceEnded = true;
      this.run();
    });
  }

  /**
   * Swallows everything from now on, the end of the stream too, as a middlebox does that has lost track of the
   * connection. There is no way back: bytes are missing.
   */
  lose(): void {
    this.lost = true;
    this.pieces.length = 0;
    this.held = 0;
    this.from.resume();
  }

  private take(bytes: Buffer): void {
    if (this.lost) return;
    const now = systemClock.monotonic();
    const { latencyMs, bytesPerSecond } = this.condition();
    const sendMs = bytesPerSecond === 0 ? 0 : (bytes.length / bytesPerSecond) * 1_000;
    this.free = Math.max(this.free, now) + sendMs;
    this.pieces.push({ bytes, due: this.free + latencyMs });
    this.held += bytes.length;
    if (this.held > HELD_BYTES) this.from.pause();
    this.run();
  }

  private run(): void {
    if (this.running) return;
    this.running = true;
    void this.drain().finally(() => {
      this.running = false;
    });
  }

  private async drain(): Promise<void> {
    for (let piece = this.pieces[0]; piece !== undefined; piece = this.pieces[0]) {
      const wait = piece.due - systemClock.monotonic();
      if (wait > 0) await systemClock.sleep(wait);
      if (this.lost || this.to.destroyed) return;
      this.pieces.shift();
      this.held -= piece.bytes.length;
      if (!this.to.write(piece.bytes)) await this.drained();
      if (this.held <= HELD_BYTES) this.from.resume();
    }
    if (this.sourceEnded && !this.lost && !this.to.destroyed) this.to.end();
  }

  private drained(): Promise<void> {
    return new Promise((resolve) => {
      const finish = (): void => {
        this.to.off('drain', finish);
        this.to.off('close', finish);
        resolve();
      };
      this.to.once('drain', finish);
      this.to.once('close', finish);
    });
  }
}
