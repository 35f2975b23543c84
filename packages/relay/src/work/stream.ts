/** A stream of events on its way from targets to one caller. */
import { fault } from '@jasmineroute/core';
import { broken } from '@jasmineroute/engine';
import type { WireAnswer } from '@jasmineroute/engine';
import type { Target } from '@jasmineroute/knowledge';
import { EventPieces } from '../answer/index.js';
import type { CallerAnswer } from '../answer/index.js';
import { QUIET_MS } from '../target/index.js';
import type { OpenRequest } from '../target/index.js';
import type { TargetAnswer } from './attempt.js';
import type { RelayContext } from './context.js';
import { brokenOff } from './pass.js';
import type { Outcome } from './pass.js';

/** A stream that leaves a target waits so long for its next event, milliseconds: some steps of a busy engine. */
const MOVE_MS = 250;

/** The stream of one request, over all targets that it runs at. */
export class Stream {
  /** Last event that the caller has; undefined: none yet. */
  lastEventId: number | undefined;
  /** Longest pause between two events so far, milliseconds. */
  pauseMs = 0;
  /** The running answer was given up to go on elsewhere. */
  moving = false;
  private eventAt: number | undefined;
  /** Time of the last event of the target that it runs at now. */
  private targetEventAt: number | undefined;

  /** @param mayMove whether the stream may go on at another target; takes the retry for it from the budget. */
  constructor(
    private readonly context: RelayContext,
    private readonly answer: CallerAnswer,
    private readonly mayMove: () => boolean,
  ) {}

  /** Passes events as they come, whole ones only. */
  async pass(target: Target, { wire }: TargetAnswer, open: OpenRequest): Promise<Outcome> {
    this.targetEventAt = undefined;
    const pieces = new EventPieces(this.lastEventId);
    const ended = [this.watchQuiet(target, wire), this.watchPause(target, wire)];
    // Not before the first event: a target that is lost before it leaves nothing of its answer behind.
    const begin = (): void => {
      this.answer.begin(wire.status, this.context.dialect.callerHeaders(wire.headers));
    };
    try {
      for await (const chunk of wire.body) {
        this.context.sights.heard(target.id);
        const events = pieces.push(chunk);
        if (events.length === 0) continue;
        open.read();
        begin();
        this.note(target.id, pieces.lastId);
        await this.answer.write(events);
        if (this.moving) wire.abandon();
      }
    } catch (error) {
      wire.abandon();
      return brokenOff(broken(error));
    } finally {
      for (const end of ended) end();
    }
    if (pieces.pending.length > 0) return brokenOff(fault('stream-broken', 'it ended inside an event'));
    begin();
    this.answer.end();
    return { state: 'answered' };
  }

  private note(targetId: string, eventId: number): void {
    const now = this.context.clock.monotonic();
    this.lastEventId = eventId;
    if (this.eventAt !== undefined) this.pauseMs = Math.max(this.pauseMs, now - this.eventAt);
    if (this.targetEventAt !== undefined) this.context.sights.pace.paused(targetId, now - this.targetEventAt);
    this.eventAt = now;
    this.targetEventAt = now;
  }

  private move(): boolean {
    this.moving ||= this.mayMove();
    return this.moving;
  }

  /**
   * Lets the stream leave a target that pauses. The target waits for its runs before it loads new weights, up to several
   * seconds for a long one, and takes no other work meanwhile; a stream that goes on elsewhere loses some ms. It leaves
   * right after an event, as its caller counts the pause from there. Returns the way to stop.
   */
  private watchPause(target: Target, wire: WireAnswer): () => void {
    const { knowledge, clock } = this.context;
    let calledOff = (): void => undefined;
    const stop = knowledge.targets.onPause((id) => {
      if (id !== target.id || this.moving || !this.move()) return;
      calledOff = clock.after(MOVE_MS, () => {
        wire.abandon();
      });
    });
    return () => {
      stop();
      calledOff();
    };
  }

  /**
   * Lets the stream leave a target that seems lost. Only then: the silence of one stream alone is no reason, as it may
   * wait for its turn in a batch. Returns the way to stop.
   */
  private watchQuiet(target: Target, wire: WireAnswer): () => void {
    const { sights, clock } = this.context;
    let calledOff: () => void;
    const look = (): void => {
      if (sights.isQuiet(target.id) && this.move()) wire.abandon();
      else calledOff = clock.after(QUIET_MS / 2, look);
    };
    calledOff = clock.after(QUIET_MS, look);
    return () => {
      calledOff();
    };
  }
}
