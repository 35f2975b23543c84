/** Requests of callers that were read while the answers before them on their connections are not complete. */
import type { ServerResponse } from 'node:http';
import { CompactMessage } from './compactMessage.js';
import type { MemoryBudget } from './memoryBudget.js';

/** Number of requests that wait for their turn on one connection, from which on no more of its bytes are read. */
const MAX_WAITING = 16;

/** Most of them, when the connection reads the last ones that have arrived. */
const MAX_WAITING_AT_LAST = 64;

/** Most bytes of their bodies that are read ahead. */
const MAX_WAITING_BYTES = 1_048_576;

/** What is held for one request while it waits, without its body: the objects of the runtime and of its handler, bytes. */
const REQUEST_BYTES = 8_192;

/** Budgets of what waits, of all connections of a server. */
export interface WaitingBudgets {
  /** For the requests without their bodies. */
  readonly requests: MemoryBudget;
  readonly bodies: MemoryBudget;
}

/** The wait of one request. */
interface Wait {
  readonly answer: ServerResponse;
  readonly tell: (hasCome: boolean) => void;
  /** Bytes reserved for its body. */
  bytes: number;
  /** Whether bytes are reserved for the request itself. */
  isReserved: boolean;
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

  constructor(private readonly budgets: WaitingBudgets) {}

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
      const isReserved = this.budgets.requests.tryReserve(REQUEST_BYTES);
      this.last = { answer, tell, bytes: 0, isReserved };
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
    if (wait.isReserved) this.budgets.requests.release(REQUEST_BYTES);
    wait.tell(hasCome);
  }

  endAll(): void {
    for (const answer of this.waits.keys()) this.end(answer, false);
  }

  /** Whether no more is to be read while they wait. Otherwise, the last body is read whole, however many others come. */
  isFull(): boolean {
    return this.waits.size >= MAX_WAITING || this.last?.isReserved === false || !this.reserveLast();
  }

  /** Whether one more may be read of those that have arrived. */
  mayTakeLast(): boolean {
    const { last } = this;
    const isLastWhole = last?.answer.req.complete === true && last.isReserved;
    return isLastWhole && this.waits.size < MAX_WAITING_AT_LAST && this.reserveLast();
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
    if (this.bytes + more > MAX_WAITING_BYTES || !this.budgets.bodies.tryReserve(more)) return false;
    last.bytes += more;
    this.bytes += more;
    return true;
  }

  private release(wait: Wait): void {
    this.budgets.bodies.release(wait.bytes);
    this.bytes -= wait.bytes;
    wait.bytes = 0;
  }
}
