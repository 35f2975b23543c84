/** Requests of callers that were read while the answers before them on their connections are not complete. */
import type { ServerResponse } from 'node:http';
import { CompactMessage } from './compactMessage.js';
import type { BodyBudget } from './body.js';

/** Number of requests that wait for their turn on one connection, from which on no more of its bytes are read. */
const MAX_WAITING = 16;

/** Most bytes of their bodies that are read ahead. */
const MAX_WAITING_BYTES = 1_048_576;

/** The wait of one request. */
interface Wait {
  readonly answer: ServerResponse;
  readonly tell: (hasCome: boolean) => void;
  /** Bytes reserved for its body. */
  bytes: number;
}

/** Bytes that are needed for a body: as long as it says, or as far as it was read. */
function bodyBytes({ req }: ServerResponse): number {
  const length = Number(req.headers['content-length'] ?? 0);
  return Math.max(length, req instanceof CompactMessage ? req.heldBytes : req.readableLength);
}

/** Requests of one connection that wait for their turn, in order. */
export class WaitingRequests {
  private readonly waits = new Map<ServerResponse, Wait>();
  /** The last one that was added. Bodies before it are whole. */
  private last: Wait | undefined;
  private bytes = 0;

  /** @param budget for bodies that wait, of all connections of the server. */
  constructor(private readonly budget: BodyBudget) {}

  get isEmpty(): boolean {
    return this.waits.size === 0;
  }

  /** Number of requests that wait for their turn. */
  get size(): number {
    return this.waits.size;
  }

  /** @returns whether the turn comes, when that is known. */
  add(answer: ServerResponse): Promise<boolean> {
    this.reserveLast();
    return new Promise<boolean>((tell) => {
      this.last = { answer, tell, bytes: 0 };
      this.waits.set(answer, this.last);
    });
  }

  /** Ends the wait of a request, if it waits. */
  end(answer: ServerResponse, hasCome: boolean): void {
    const wait = this.waits.get(answer);
    if (wait === undefined) return;
    this.waits.delete(answer);
    if (wait === this.last) this.last = undefined;
    this.release(wait);
    wait.tell(hasCome);
  }

  endAll(): void {
    for (const answer of this.waits.keys()) this.end(answer, false);
  }

  /** Whether no more is to be read while they wait. Otherwise, the last body is read whole, however many others come. */
  isFull(): boolean {
    return this.waits.size >= MAX_WAITING || !this.reserveLast();
  }

  /** Gives up the rest of the last body, if it is not whole. @returns the answer to its request. */
  giveUpLast(): ServerResponse | undefined {
    const { last } = this;
    if (last === undefined || last.answer.req.complete) return undefined;
    this.last = undefined;
    this.release(last);
    last.answer.req.resume();
    return last.answer;
  }

  private reserveLast(): boolean {
    const { last } = this;
    if (last === undefined) return true;
    const more = bodyBytes(last.answer) - last.bytes;
    if (more <= 0) return true;
    if (this.bytes + more > MAX_WAITING_BYTES || !this.budget.tryReserve(more)) return false;
    last.bytes += more;
    this.bytes += more;
    return true;
  }

  private release(wait: Wait): void {
    this.budget.release(wait.bytes);
    this.bytes -= wait.bytes;
    wait.bytes = 0;
  }
}
