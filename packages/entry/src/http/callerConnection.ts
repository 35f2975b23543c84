/** One connection of a caller, from its opening to an end in stages (RFC 9112, 9.6). */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Duplex } from 'node:stream';
import { setImmediate as nextTurn } from 'node:timers/promises';
import type { Cancellation, Clock } from '@jasmineroute/core';
import { refuseUnread } from './badConnection.js';
import { CompactMessage } from './compactMessage.js';
import type { ConnectionEnd, EndCause } from './connectionEnds.js';
import { MemoryBudget } from './memoryBudget.js';
import { PacedSocket } from './pacedSocket.js';
import { WaitingRequests } from './waitingRequests.js';
import type { WaitingBudgets } from './waitingRequests.js';

/**
 * Time for which this side reads nothing after an end that no answer has announced, milliseconds. The caller's next request may
 * be on its way; one that was not read may be sent elsewhere.
 */
const UNREAD_MS = 250;

/** Longest time from this side's end until the connection is closed where the caller does not close it, milliseconds. */
const LINGER_MS = 2_000;

/**
 * Longest time for which this side reads nothing while requests wait and none has its turn, milliseconds. The end of a caller that
 * leaves is behind its bytes, and is seen only when they are read.
 */
const MAX_PAUSE_MS = 1_000;

/** Budgets of a server whose callers don't send requests ahead. */
const NO_WAITING: WaitingBudgets = { requests: new MemoryBudget(Infinity), bodies: new MemoryBudget(0) };

/** The socket of a connection, or what stands before it. */
export interface CallerSocket extends Duplex {
  readonly bytesRead: number;
  setTimeout(ms: number): this;
  destroySoon(): void;
}

/** The beginning of a connection's end by this side. */
interface Ending {
  readonly cause: EndCause;
  /** Monotonic time. */
  readonly at: number;
  readonly unsentBytes: number;
  readonly bytesRead: number;
}

const hasAnnouncedEnd = (answer: ServerResponse): boolean =>
  answer.headersSent && answer.getHeader('connection') === 'close';

/** An open connection. */
export class CallerConnection {
  /** Unfinished answers, in the order of their requests. */
  readonly answers = new Set<ServerResponse>();
  /** The request that was read last. */
  private newest: IncomingMessage | undefined;
  /** What was read of it at the last call of `hasAdvanced`. */
  private seen: { readonly message?: IncomingMessage; readonly bytes: number; readonly isWhole: boolean } = {
    bytes: 0,
    isWhole: false,
  };
  private hasGivenUpInput = false;
  /** Whether the input is about to be taken from the HTTP parser. */
  private isInputBlocked = false;
  /** Whether the requests are read that have arrived before the input is given up. */
  private isReadingLast = false;
  /** Requests whose turn had not come at the end. */
  private unhandledRequests = 0;
  private bytesSeen = 0;
  private activeAt: number;
  private ending: Ending | undefined;
  private readonly waiting: WaitingRequests;
  /** Nothing is read while too much waits: cancels the end of that. */
  private cancelPause: Cancellation | undefined;
  /** The newest request, where the rest of its body was given up: refused in its turn. */
  private unread: ServerResponse | undefined;

  /**
   * @param waitingBudgets for requests that wait, of all connections of the server.
   * @param acceptedLate the earliest monotonic time at which the connection may have arrived, if it waited to be accepted.
   */
  constructor(
    private readonly socket: CallerSocket,
    private readonly clock: Clock,
    waitingBudgets = NO_WAITING,
    private acceptedLate?: number,
  ) {
    this.activeAt = clock.monotonic();
    this.waiting = new WaitingRequests(waitingBudgets);
    if (socket instanceof PacedSocket) socket.setPace(this);
    void this.readArrived();
    // Node takes its own listener back from a connection on which a tunnel was asked for. The close that follows is recorded.
    socket.on('error', () => undefined);
    socket.once('close', () => {
      this.endTurns();
    });
    // Whoever reads a body resumes the socket.
    socket.on('resume', () => {
      this.limitWaiting();
    });
    // Node pauses the socket when a body fills its buffer. What waits is read ahead.
    socket.on('pause', () => {
      if (this.waiting.isEmpty || this.cancelPause !== undefined) return;
      setImmediate(() => {
        if (!this.waiting.isEmpty) this.readOn();
      });
    });
    socket.on('drain', () => {
      if (!this.waiting.isEmpty || this.cancelPause !== undefined) this.readOn();
    });
    // Node calls this after an answer with `Connection: close`, and would close at once.
    socket.destroySoon = () => {
      this.end('answered', true);
    };
  }

  /** The earliest monotonic time at which what is read now may have arrived, if it waited until the connection was accepted. */
  get waitedSince(): number | undefined {
    return this.acceptedLate;
  }

  /** Whether more is handed to the HTTP parser now: while too much waits, nothing is. */
  readonly mayRead = (): boolean => {
    if (this.isInputBlocked) return false;
    if (this.isReadingLast) return this.waiting.mayTakeLast();
    if (this.isEnding || this.hasGivenUpInput || !this.waiting.isFull()) return true;
    this.limitWaiting();
    return false;
  };

  /** Bytes of the newest body that are yet to come, as far as its length was told. */
  readonly bodyBytesLeft = (): number => {
    const incoming = this.newest;
    if (!(incoming instanceof CompactMessage) || incoming.complete) return 0;
    const length = Number(incoming.headers['content-length'] ?? 0);
    return Math.max(0, length - incoming.receivedBytes);
  };

  /** Whether the head of a request, a part of a body, or its end was read since the last call. */
  hasAdvanced(): boolean {
    const { newest: message, seen } = this;
    const bytes = message instanceof CompactMessage ? message.receivedBytes : 0;
    const isWhole = message?.complete ?? false;
    this.seen = { message, bytes, isWhole };
    return message !== seen.message || bytes !== seen.bytes || isWhole !== seen.isWhole;
  }

  /** Whether this side has ended: what arrives from then on is not handled. */
  get isEnding(): boolean {
    return this.ending !== undefined;
  }

  /** Whether a request that was read whole, or an answer, is in progress. */
  get isInProgress(): boolean {
    return [...this.answers].some((answer) => answer.headersSent || answer.req.complete);
  }

  /** Whether nothing more is read, as the input was found invalid or too much waits; the answers before go on. */
  get isGivenUp(): boolean {
    return this.hasGivenUpInput;
  }

  /**
   * Adds the answer to a new request.
   * @param isLast whether it says that it is the last one, which an answer before it then must not say.
   * @returns whether the request is to be handled: what follows an end, or an answer that has announced it, is not.
   */
  add(answer: ServerResponse, isLast: boolean): boolean {
    const before = [...this.answers];
    this.newest = answer.req;
    if (this.isEnding || this.hasGivenUpInput || before.some(hasAnnouncedEnd)) return false;
    this.answers.add(answer);
    answer.once('close', () => {
      this.answers.delete(answer);
      this.giveTurn(answer);
    });
    if (!isLast) return true;
    for (const one of before) if (!one.headersSent) one.removeHeader('connection');
    answer.setHeader('connection', 'close');
    return true;
  }

  /** Lets the newest answer that is due say that it is the last one, unless it has begun. */
  announceEnd(): void {
    const last = this.dueAnswers().at(-1);
    if (last?.headersSent === false) last.setHeader('connection', 'close');
  }

  /**
   * Waits for the answers before. Where one of them breaks off, the connection ends, and a request behind it that had been
   * handled would have run without an answer.
   * @returns whether the request may be handled; false: the connection has ended.
   */
  turnOf(answer: ServerResponse): Promise<boolean> {
    const [first] = this.answers;
    if (this.isEnding || this.socket.destroyed) return Promise.resolve(false);
    if (first === answer) return Promise.resolve(true);
    const turn = this.waiting.add(answer);
    this.limitWaiting();
    return turn;
  }

  /** Whether another answer is due before the connection may end. */
  isAnswering(except: ServerResponse): boolean {
    return this.dueAnswers().some((one) => one !== except);
  }

  /**
   * Reads nothing more, as later bytes can't be parsed reliably or too much waits; the answers that are due go on. A request whose
   * body was not read on while it waited is refused in its turn.
   */
  giveUpInput(): void {
    this.hasGivenUpInput = true;
    const givenUp = this.waiting.giveUpLast();
    if (this.cancelPause !== undefined) this.unread = givenUp;
    this.endPause();
    this.announceEnd();
    this.discardInput();
  }

  /** Whether a request was refused as the rest of it was given up. */
  isRefused(answer: ServerResponse): boolean {
    return answer === this.unread;
  }

  /** As `giveUpInput`, where Node has taken its own listeners back because a tunnel was asked for. */
  giveUpTunnel(): void {
    this.socket.on('drain', () => {
      const [first] = this.answers;
      first?.emit('drain');
    });
    this.giveUpInput();
  }

  /**
   * Time without any activity, as far as it was observed by calls of this method, milliseconds.
   * @param readAfter monotonic time after which what had arrived was read: a process may stand still behind that.
   */
  idleMs(readAfter: number): number {
    const { bytesRead } = this.socket;
    if (this.answers.size > 0 || bytesRead !== this.bytesSeen) this.activeAt = this.clock.monotonic();
    this.bytesSeen = bytesRead;
    return readAfter - this.activeAt;
  }

  /**
   * Ends this side, reads on until the caller closes, and closes only then or after some time. A close with unread bytes resets
   * the connection, and a reset discards what the caller has not read yet.
   * @param isAnnounced whether an answer has said that the connection ends, so that no request may follow.
   */
  end(cause: EndCause, isAnnounced: boolean): void {
    if (this.ending !== undefined) return;
    const { socket, clock } = this;
    const { bytesRead } = socket;
    const { unsentBytes } = this;
    this.ending = { cause, at: clock.monotonic(), unsentBytes, bytesRead };
    this.endTurns();
    socket.setTimeout(0);
    socket.end();
    const cancelClose = clock.after(LINGER_MS, () => {
      socket.destroy();
    });
    socket.once('close', cancelClose);
    if (isAnnounced) this.discardInput();
    else this.discardInputLater();
  }

  /** Closes at once. */
  destroy(cause: EndCause): void {
    const { bytesRead } = this.socket;
    const { unsentBytes } = this;
    this.ending ??= { cause, at: this.clock.monotonic(), unsentBytes, bytesRead };
    this.socket.destroy();
  }

  /** How the connection ended, once it is closed. */
  record(hadError: boolean): ConnectionEnd {
    const { ending, socket, clock } = this;
    const { unhandledRequests } = this;
    const unfinishedAnswers = [...this.answers].filter((one) => !one.writableFinished).length;
    if (ending === undefined) {
      const cause = hadError ? 'reset' : socket.readableEnded ? 'caller' : 'cut';
      const { unsentBytes } = this;
      return { cause, unfinishedAnswers, unhandledRequests, unsentBytes, lateBytes: 0, closingMs: 0 };
    }
    const { cause, unsentBytes } = ending;
    const lateBytes = socket.bytesRead - ending.bytesRead;
    const closingMs = Math.round(clock.monotonic() - ending.at);
    return { cause, unfinishedAnswers, unhandledRequests, unsentBytes, lateBytes, closingMs };
  }

  private get unsentBytes(): number {
    const { socket } = this;
    return socket instanceof PacedSocket ? socket.unsentBytes : socket.writableLength;
  }

  /** What arrived before the connection was accepted is read in the turn of the event loop after that. */
  private async readArrived(): Promise<void> {
    if (this.acceptedLate === undefined) return;
    await nextTurn();
    await nextTurn();
    this.acceptedLate = undefined;
  }

  /** Lets the request behind a complete answer be handled. */
  private giveTurn({ writableFinished }: ServerResponse): void {
    const [next] = this.answers;
    if (next === undefined || !writableFinished || this.isEnding || this.socket.destroyed) return;
    this.waiting.end(next, next !== this.unread);
    if (next === this.unread) refuseUnread(next);
    if (this.cancelPause === undefined) return;
    this.startPause();
    this.readOn();
  }

  /** Reads what follows, unless too much waits, or Node waits until the caller reads. */
  private readOn(): void {
    const { socket } = this;
    if (this.isEnding || this.hasGivenUpInput || socket.writableNeedDrain) return;
    this.limitWaiting();
    if (this.waiting.isFull()) return;
    this.endPause();
    socket.resume();
  }

  /** Reads nothing more for some time while too much waits. */
  private limitWaiting(): void {
    if (this.isReadingLast || this.isEnding || this.hasGivenUpInput || !this.waiting.isFull()) return;
    if (this.cancelPause === undefined) this.startPause();
    // Node may start to read again after a pause that is still in force, and another call of `pause` would do nothing.
    if (this.socket.isPaused()) this.socket.emit('pause');
    else this.socket.pause();
  }

  private startPause(): void {
    this.cancelPause?.();
    this.cancelPause = this.clock.after(MAX_PAUSE_MS, () => {
      this.endLongPause();
    });
  }

  private endLongPause(): void {
    if (this.waiting.isFull()) this.readLast();
    else this.readOn();
  }

  /** Reads the requests that have arrived, as far as they are few, and gives up what follows. */
  private readLast(): void {
    this.isReadingLast = true;
    this.socket.resume();
    setImmediate(() => {
      this.isReadingLast = false;
      if (!this.isEnding && !this.hasGivenUpInput) this.giveUpInput();
    });
  }

  private endPause(): void {
    this.cancelPause?.();
    this.cancelPause = undefined;
  }

  private endTurns(): void {
    this.endPause();
    this.unhandledRequests += this.waiting.size;
    this.waiting.endAll();
  }

  /** Answers to requests that were read, or are refused; where input was given up, no more of a request is read. */
  private dueAnswers(): ServerResponse[] {
    const answers = [...this.answers];
    if (!this.hasGivenUpInput) return answers;
    return answers.filter((one) => one.headersSent || one.req.complete || one === this.unread);
  }

  private discardInputLater(): void {
    const { socket } = this;
    socket.pause();
    const cancel = this.clock.after(UNREAD_MS, () => {
      this.discardInput();
    });
    socket.once('close', cancel);
  }

  /** Reads on past the HTTP parser, until the caller ends its side. */
  private discardInput(): void {
    const { socket } = this;
    // Node's own listener for "resume" reads again where the parser had stopped; so the socket is taken only then, and the parser gets
    // nothing until then.
    this.isInputBlocked = true;
    socket.pause();
    socket.prependOnceListener('resume', () => {
      this.isInputBlocked = false;
      this.takeInput();
    });
    socket.resume();
  }

  private takeInput(): void {
    const { socket } = this;
    socket.removeAllListeners('data').removeAllListeners('end');
    // A listener for data takes the socket back from the parser.
    socket.on('data', () => undefined);
    socket.once('end', () => socket.end());
  }
}
