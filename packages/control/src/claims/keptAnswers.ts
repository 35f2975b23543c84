/** Answers of settled claims, for callers that ask again. */
import { create } from '@bufbuild/protobuf';
import { stateMessage } from '@jasmineroute/protocol';
import type { controlMessage } from '@jasmineroute/protocol';
import type { LogTime } from '../state/index.js';

interface KeptAnswer {
  readonly answer: controlMessage.Answer;
  readonly expires: LogTime;
}

/** Bytes that an answer is counted with besides its body. */
const OVERHEAD_BYTES = 256;

/** Answers by key hash, oldest first, within a bound of bytes. */
export class KeptAnswers {
  private answers = new Map<string, KeptAnswer>();
  private total = 0;

  /** Bytes that count against the bound. */
  bytes(): number {
    return this.total;
  }

  find(key: string): controlMessage.Answer | undefined {
    return this.answers.get(key)?.answer;
  }

  /** Keeps an answer; the oldest ones go when all are more than `maxBytes`. */
  keep(key: string, answer: controlMessage.Answer, expires: LogTime, maxBytes: number): void {
    this.drop(key);
    // A decoded body is a window on the whole entry of the log, and would hold all of it.
    const body = answer.body.slice();
    this.answers.set(key, { answer: { ...answer, body }, expires });
    this.total += sizeOf(answer);
    for (const oldest of this.answers.keys()) {
      if (this.total <= maxBytes) return;
      this.drop(oldest);
    }
  }

  drop(key: string): void {
    const kept = this.answers.get(key);
    if (kept === undefined) return;
    this.answers.delete(key);
    this.total -= sizeOf(kept.answer);
  }

  /** Drops what has expired. */
  advanced(now: LogTime): void {
    for (const [key, { expires }] of this.answers) {
      if (expires <= now) this.drop(key);
    }
  }

  snapshot(): stateMessage.KeptAnswer[] {
    return [...this.answers].map(([key, { answer, expires }]) => {
      const keyHash = Buffer.from(key, 'hex');
      return create(stateMessage.KeptAnswerSchema, { keyHash, answer, expiresMs: BigInt(expires) });
    });
  }

  restore(kept: readonly stateMessage.KeptAnswer[]): void {
    this.answers = new Map();
    this.total = 0;
    for (const { keyHash, answer, expiresMs } of kept) {
      if (answer === undefined) continue;
      this.keep(Buffer.from(keyHash).toString('hex'), answer, Number(expiresMs), Number.POSITIVE_INFINITY);
    }
  }
}

function sizeOf(answer: controlMessage.Answer): number {
  return answer.body.byteLength + OVERHEAD_BYTES;
}
