/** Runs one call from admission to the end of its answer. */
import { fault } from '@jasmineroute/core';
import type { Cancellation, HopSpan } from '@jasmineroute/core';
import { tokensOf } from '@jasmineroute/routing';
import type { AdmissionRequest } from '@jasmineroute/routing';
import type { Call } from '../call/index.js';
import { entryEvents } from '../events.js';
import type { Reply } from '../http/reply.js';
import { entryMetrics } from '../metrics.js';
import { Attempts } from './attempts.js';
import type { EntryContext } from './context.js';

/** Runs one call. Each object is used once. */
export class CallRun {
  private readonly stop = new AbortController();
  private readonly attempts: Attempts;
  private readonly deadline: number;

  constructor(
    private readonly context: EntryContext,
    private readonly call: Call,
    private readonly reply: Reply,
    span: HopSpan,
  ) {
    this.deadline = context.clock.monotonic() + call.deadlineMs;
    this.attempts = new Attempts(context, {
      call,
      reply,
      span,
      stop: this.stop.signal,
      remainingMs: () => Math.max(1, Math.round(this.deadline - context.clock.monotonic())),
    });
  }

  /** Resolves when the caller has its answer and the call's resources are released. */
  async run(): Promise<void> {
    const cancelTimer = this.context.clock.after(this.call.deadlineMs, () => {
      this.expire();
    });
    const stopListening = this.call.persistent ? () => undefined : this.stopOnHangUp();
    try {
      await this.runAdmitted();
    } finally {
      cancelTimer();
      stopListening();
    }
  }

  private async runAdmitted(): Promise<void> {
    const permit = await this.context.admissions.of(this.call.service.service).admit(this.admissionRequest());
    if (permit.isErr()) {
      this.reply.fail(permit.error);
      return;
    }
    try {
      await this.attempts.run();
    } finally {
      permit.value.release();
    }
  }

  private admissionRequest(): AdmissionRequest {
    const { customer, priority, deadlineMs, model } = this.call;
    const promptTokens = tokensOf(model?.prompt.bytes.length ?? 0);
    return { customer, priority, deadlineMs, promptTokens, signal: this.stop.signal };
  }

  /** Cancels the call when its caller disconnects, because the target would generate output that nobody reads. */
  private stopOnHangUp(): Cancellation {
    const { hungUp } = this.reply;
    const stop = (): void => {
      this.context.metrics.count(entryMetrics.hangUps);
      this.context.log.event(entryEvents.callerGone, { requestId: this.call.requestId });
      this.stop.abort();
    };
    hungUp.addEventListener('abort', stop, { once: true });
    if (hungUp.aborted) stop();
    return () => {
      hungUp.removeEventListener('abort', stop);
    };
  }

  /** Handles the deadline: the caller is answered at once, without waiting for the gate. */
  private expire(): void {
    if (this.stop.signal.aborted) return;
    this.reply.fail(
      fault('deadline-exceeded', 'the deadline passed before the answer was complete', {
        ran: this.attempts.runState(),
      }),
    );
    this.stop.abort();
  }
}
