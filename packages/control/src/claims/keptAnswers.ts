/** Answers of settled claims, for callers that resend a request. */
import { create } from '@bufbuild/protobuf';
import { stateMessage } from '@jasmineroute/protocol';
import type { controlMessage } from '@jasmineroute/protocol';
import type { LogTime } from '../state/index.js';

interface KeptAnswer {
  readonly answer: controlMessage.Answer;
  readonly expires: LogTime;
}

/** Bytes counted for an answer in addition to its body. */
const OVERHEAD_BYTES = 256;

/** Answers by key hash, oldest first, within a byte limit. */
export class KeptAnswers {
  private answers = new Map<string, KeptAnswer>();
  private total = 0;

  /** Bytes counted against the limit. */
  bytes(): number {
    return this.total;
  }

  find(key: string): controlMessage.Answer | undefined {
    return this.answers.get(key)?.answer;
  }

  /** Adds an answer and evicts the oldest ones while the total exceeds `maxBytes`. */
  put(key: string, answer: controlMessage.Answer, expires: LogTime, maxBytes: number): void {
    this.remove(key);
    // A decoded body is a view of the buffer of its log entry and would keep the whole entry in memory.
    const body = answer.body.slice();
    this.answers.set(key, { answer: { ...answer, body }, expires });
    this.total += sizeOf(answer);
    for (const oldest of this.answers.keys()) {
      if (this.total <= maxBytes) return;
      this.remove(oldest);
    }
  }

  remove(key: string): void {
    const kept = this.answers.get(key);
    if (kept === undefined) return;
    this.answers.delete(key);
    this.total -= sizeOf(kept.answer);
  }

  /** Removes expired answers. */
  removeExpired(now: LogTime): void {
    for (const [key, { expires }] of this.answers) {
      if (expires <= now) this.remove(key);
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
      this.put(Buffer.from(keyHash).toString('hex'), answer, Number(expiresMs), Number.POSITIVE_INFINITY);
    }
  }
}

function sizeOf(answer: controlMessage.Answer): number {
  return answer.body.byteLength + OVERHEAD_BYTES;
}
