/** Sends one planned request as a caller would, and records what became of it. */
import type { Clock } from '@jasmineroute/core';
import { Agent, request } from 'undici';
import type { Dispatcher } from 'undici';
import { customerKey } from '../deployment/index.js';
import { renderChat } from '../engine/index.js';
import type { PlannedRequest } from '../workload/index.js';
import { checkAnswer } from './check.js';
import { emptyReading, parseAnswer, streamParser, takePart } from './reader.js';
import type { Reading } from './reader.js';
import type { RequestRecord } from './record.js';

/** Where requests go, and how callers behave. */
export interface SendOptions {
  /** URL to take for the given try; a balancer goes round the entries. */
  readonly url: (attempt: number) => string;
  readonly dispatcher: Dispatcher;
  readonly clock: Clock;
  /** How long a caller without a connection tries again, as behind a balancer. */
  readonly redialMs: number;
  /** When a caller gives up on an answer. */
  readonly giveUpMs: number;
  readonly headers?: Readonly<Record<string, string>>;
}

const REDIAL_PAUSE_MS = 20;

/** Failures before any byte of the request was sent. */
const UNSENT = new Set(['ECONNREFUSED', 'UND_ERR_CONNECT_TIMEOUT']);

/** Connections of the load: no limit, so that arrivals never wait for answers. */
export function createDispatcher(): Agent {
  return new Agent({ pipelining: 1, headersTimeout: 0, bodyTimeout: 0, connect: { timeout: 5_000 } });
}

/** The body of a planned request. */
export function bodyOf(planned: PlannedRequest): string {
  return JSON.stringify({
    model: planned.model,
    messages: planned.messages,
    max_tokens: planned.outputTokens,
    stream: planned.stream,
    metadata: { nonce: planned.nonce },
  });
}

const codeOf = (error: unknown): string => {
  if (typeof error !== 'object' || error === null) return '';
  return 'code' in error && typeof error.code === 'string' ? error.code : '';
};

class Sending {
  private readonly reading: Reading = emptyReading();
  private status = 0;
  private echoedId: string | undefined;
  private runHeader = '';
  private redials = 0;
  private readonly sentLateMs: number;

  constructor(
    private readonly planned: PlannedRequest,
    /** Intended arrival on the monotonic clock. */
    private readonly arrival: number,
    private readonly options: SendOptions,
  ) {
    this.sentLateMs = options.clock.monotonic() - arrival;
  }

  async run(): Promise<RequestRecord> {
    const { clock, giveUpMs } = this.options;
    const abort = new AbortController();
    const cancel = clock.after(giveUpMs, () => {
      abort.abort();
    });
    try {
      await this.exchange(abort.signal);
      return this.judged();
    } catch (error) {
      return this.broken(error, abort.signal.aborted);
    } finally {
      cancel();
    }
  }

  private async exchange(signal: AbortSignal): Promise<void> {
    const answer = await this.dial(signal);
    this.status = answer.statusCode;
    const echoed = answer.headers['x-request-id'];
    this.echoedId = typeof echoed === 'string' ? echoed : undefined;
    const run = answer.headers['x-run-state'];
    this.runHeader = typeof run === 'string' ? run : '';
    const { clock } = this.options;
    const streamed = String(answer.headers['content-type'] ?? '').startsWith('text/event-stream');
    if (streamed) {
      const feed = streamParser(this.reading, () => clock.monotonic());
      const decoder = new TextDecoder();
      for await (const bytes of answer.body as AsyncIterable<Buffer>)
        feed(decoder.decode(bytes, { stream: true }));
      return;
    }
    takePart(this.reading, parseAnswer(await answer.body.text()), clock.monotonic());
    this.reading.ended = true;
  }

  private async dial(signal: AbortSignal): Promise<Dispatcher.ResponseData> {
    const { planned, options } = this;
    const { clock, dispatcher, redialMs } = options;
    for (let attempt = 0; ; attempt += 1) {
      try {
        return await request(`${options.url(attempt)}/v1/chat/completions`, {
          method: 'POST',
          dispatcher,
          signal,
          headers: {
            'Content-Type': 'application/json',
            Authorization: `Bearer ${customerKey(planned.customer)}`,
            'X-Request-Id': planned.id,
            'X-Request-Deadline-Ms': String(planned.deadlineMs),
            ...options.headers,
          },
          body: bodyOf(planned),
        });
      } catch (error) {
        if (!UNSENT.has(codeOf(error)) || clock.monotonic() - this.arrival > redialMs) throw error;
        this.redials += 1;
        await clock.sleep(REDIAL_PAUSE_MS, signal);
      }
    }
  }

  private judged(): RequestRecord {
    if (this.status >= 400) return this.record('refused', this.reading.error?.message ?? '');
    const { planned, reading } = this;
    const { outcome, detail } = checkAnswer(
      {
        text: reading.text,
        ended: reading.ended,
        errorEvent: reading.error !== undefined,
        echoedId: this.echoedId,
      },
      {
        id: planned.id,
        promptText: renderChat(planned.messages, false),
        outputTokens: planned.outputTokens,
      },
    );
    return this.record(outcome, reading.error?.message ?? detail);
  }

  private broken(error: unknown, gaveUp: boolean): RequestRecord {
    const detail = `${codeOf(error)} ${error instanceof Error ? error.message : String(error)}`;
    if (gaveUp) return this.record('late', detail);
    if (UNSENT.has(codeOf(error))) return this.record('unreachable', detail);
    // What came before the break may still be a wrong answer.
    if (this.status === 200) {
      const judged = this.judged();
      if (judged.outcome === 'crossed' || judged.outcome === 'disordered') return judged;
    }
    return this.record('broken', detail);
  }

  private record(outcome: RequestRecord['outcome'], detail: string): RequestRecord {
    const { planned, reading, arrival } = this;
    const times = reading.tokenTimes;
    const [first, last] = [times[0], times.at(-1)];
    const gaps = times.slice(1).map((time, index) => time - (times[index] ?? time));
    const spread = first !== undefined && last !== undefined && times.length > 1 ? last - first : undefined;
    return {
      id: planned.id,
      customer: planned.customer,
      atMs: planned.atMs,
      outcome,
      status: this.status,
      code: reading.error?.code ?? '',
      run: reading.error?.run ?? this.runHeader,
      detail,
      sentLateMs: this.sentLateMs,
      firstTokenMs: first === undefined ? undefined : first - arrival,
      totalMs: this.options.clock.monotonic() - arrival,
      tokenGapMs: spread === undefined ? undefined : spread / (times.length - 1),
      longestGapMs: gaps.length === 0 ? undefined : Math.max(...gaps),
      outputTokens: times.length,
      promptTokens: reading.promptTokens,
      cachedTokens: reading.cachedTokens,
      redials: this.redials,
    };
  }
}

/** Sends a request whose intended arrival is `arrival` on the monotonic clock. */
export function send(planned: PlannedRequest, arrival: number, options: SendOptions): Promise<RequestRecord> {
  return new Sending(planned, arrival, options).run();
}
