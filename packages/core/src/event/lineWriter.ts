/** Log lines on their way to a descriptor: a reader that is slow, or a disk that is full, costs lines and no work. */
import { write, writeSync } from 'node:fs';
import type { Clock } from '../clock/index.js';

/** Bytes that are collected before a write, and the longest time that they wait, milliseconds. */
const BUFFER_BYTES = 4_096;
const FLUSH_INTERVAL_MS = 250;

/** Pause after a write that failed, milliseconds. */
const RETRY_MS = 250;

/** Most bytes that wait; later lines are dropped. */
const MAX_PENDING_BYTES = 1_048_576;

/** Lines that were dropped, and why they had to wait. */
export interface LostLines {
  readonly lines: number;
  readonly problem: string;
}

/**
 * Writes lines one after the other without waiting. What fails is tried again, and the process goes on meanwhile. (The writer that
 * comes with the log library ends the process with an error that nobody handles, and tries for ever at its exit.)
 */
export class LineWriter {
  private lines: Buffer[] = [];
  /** Bytes that are being written, or were not taken. */
  private current: Buffer | undefined;
  private pendingBytes = 0;
  private isWriting = false;
  private isFlushDue = false;
  /** Whether a write has failed and is not to be tried again yet. */
  private isPaused = false;
  private lost = 0;
  private problem = 'the reader is slow';

  /** @param onLost called once lines are taken again after some were dropped. */
  constructor(
    private readonly descriptor: number,
    private readonly clock: Clock,
    private readonly onLost: (lost: LostLines) => void,
  ) {}

  write(line: string): void {
    const bytes = Buffer.from(line);
    if (this.pendingBytes + bytes.length > MAX_PENDING_BYTES) {
      this.lost += 1;
      return;
    }
    this.lines.push(bytes);
    this.pendingBytes += bytes.length;
    if (this.pendingBytes >= BUFFER_BYTES) this.writeNext();
    else this.flushLater();
  }

  /** Writes what is left in one attempt, when the process ends. What another thread is writing has to end by itself. */
  writeLast(): void {
    if (this.isWriting) return;
    const rest = Buffer.concat([this.current ?? Buffer.alloc(0), ...this.lines]);
    try {
      for (let from = 0; from < rest.length; from += writeSync(this.descriptor, rest, from));
    } catch {
      // Nowhere is left to tell of it.
    }
  }

  private flushLater(): void {
    if (this.isFlushDue) return;
    this.isFlushDue = true;
    this.clock.after(FLUSH_INTERVAL_MS, () => {
      this.isFlushDue = false;
      this.writeNext();
    });
  }

  private writeNext(): void {
    if (this.isWriting || this.isPaused) return;
    this.current ??= this.takeLines();
    const { current } = this;
    if (current === undefined) return;
    this.isWriting = true;
    write(this.descriptor, current, 0, current.length, null, (error, written) => {
      this.isWriting = false;
      if (error === null) this.recordWritten(current, written);
      else this.recordFailure(error);
    });
  }

  private takeLines(): Buffer | undefined {
    if (this.lines.length === 0) return undefined;
    const bytes = Buffer.concat(this.lines);
    this.lines = [];
    return bytes;
  }

  private recordWritten(current: Buffer, written: number): void {
    this.pendingBytes -= written;
    this.current = written < current.length ? current.subarray(written) : undefined;
    if (this.lost > 0 && this.current === undefined) this.tellLost();
    this.writeNext();
  }

  private recordFailure(error: Error): void {
    this.problem = error.message;
    this.isPaused = true;
    this.clock.after(RETRY_MS, () => {
      this.isPaused = false;
      this.writeNext();
    });
  }

  private tellLost(): void {
    const { lost: lines, problem } = this;
    this.lost = 0;
    this.onLost({ lines, problem });
  }
}
