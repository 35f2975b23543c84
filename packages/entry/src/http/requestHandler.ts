/** Handles callers' requests: checks head and customer, reads the body, and runs the call. */
import type { IncomingMessage } from 'node:http';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { endHop, fault, startHop } from '@jasmineroute/core';
import type { Fault, HopSpan } from '@jasmineroute/core';
import type { Model } from '@jasmineroute/document';
import { resolveRequest, traceContextOf, modelsFor, readHead, requestIdOf } from '../call/index.js';
import type { Call, CallerRequest } from '../call/index.js';
import { entryEvents } from '../events.js';
import { entryMetrics } from '../metrics.js';
import { CallRun } from '../work/index.js';
import type { EntryContext } from '../work/index.js';
import type { CallerBindings } from './app.js';
import type { Arrival } from './arrival.js';
import { readBody } from './body.js';
import { countedHeadBytes, headBytesOf } from './head.js';
import { Reply } from './reply.js';
import { noMemoryForHead } from './uploads.js';
import type { HeldHead, Uploads } from './uploads.js';

const MODELS_PATH = '/v1/models';

/** The model named by a path under `/v1/models`. */
function modelInPath(path: string): string | undefined {
  const name = path.replace(/[?#].*$/s, '').slice(MODELS_PATH.length + 1);
  if (name === '') return undefined;
  try {
    return decodeURIComponent(name);
  } catch {
    return name;
  }
}

function modelList(models: readonly Model[]): { readonly id: string; readonly object: 'model' }[] {
  const ids = models.flatMap(({ name, adapters }) => [name, ...adapters.map((one) => `${name}:${one.name}`)]);
  return ids.map((id) => ({ id, object: 'model', created: 0, owned_by: 'jasmineroute' }));
}

/** A request with what is left of its caller's deadline after a wait. */
function afterWait(request: CallerRequest, waitedMs: number): Result<CallerRequest, Fault> {
  if (request.deadlineMs === undefined) return ok(request);
  const deadlineMs = Math.ceil(request.deadlineMs - waitedMs);
  if (deadlineMs > 0) return ok({ ...request, deadlineMs });
  const message = 'the deadline passed while the request waited for the answers before it';
  return err(fault('deadline-exceeded', message, { ran: 'not-run' }));
}

/** A request that has arrived. */
interface ArrivedRequest {
  /** Earliest monotonic time at which it may have arrived. */
  readonly earliestAt: number;
  /** Undefined: there was no memory for it. */
  readonly head: HeldHead | undefined;
}

/** Handles the requests of all callers of one entry. */
export class RequestHandler {
  private open = 0;
  /** Requests from their arrival to their end. */
  private readonly arrived = new WeakMap<IncomingMessage, ArrivedRequest>();

  constructor(
    private readonly context: EntryContext,
    private readonly uploads: Uploads,
  ) {}

  /** Number of requests in progress. */
  get openRequests(): number {
    return this.open;
  }

  /** Bytes of request bodies currently buffered. */
  get bufferedBytes(): number {
    return this.uploads.budget.bytes;
  }

  /** Called when the head of a request was read: its caller's deadline counts from then on, also while it waits for its turn. */
  recordArrival(incoming: IncomingMessage, { earliestAt }: Arrival): void {
    const bytes = countedHeadBytes(headBytesOf(incoming), incoming.rawHeaders.length / 2);
    this.arrived.set(incoming, { earliestAt, head: this.uploads.holdHead(bytes) });
  }

  /** Called when a request was handled, or will not be. */
  recordEnd(incoming: IncomingMessage): void {
    this.arrived.get(incoming)?.head?.release();
  }

  /** Answers `/v1/models` and `/v1/models/{id}`. */
  async models(bindings: CallerBindings): Promise<void> {
    await this.respond(bindings, (request, reply) => {
      const models = modelsFor(request, this.context.view());
      if (models.isErr()) {
        reply.fail(models.error);
        return Promise.resolve();
      }
      const requestedId = modelInPath(request.path);
      const data = modelList(models.value).filter(
        ({ id }) => requestedId === undefined || id === requestedId,
      );
      const [only] = data;
      if (requestedId !== undefined && only === undefined) {
        reply.fail(
          fault('unknown-model', `there is no model ${JSON.stringify(requestedId)} for this customer`),
        );
        return Promise.resolve();
      }
      const list = requestedId === undefined ? { object: 'list', data } : only;
      const body = Buffer.from(JSON.stringify(list));
      reply.send(200, [{ name: 'content-type', value: 'application/json' }], body, 'ran');
      return Promise.resolve();
    });
  }

  /** Answers a call to a service. */
  async call(bindings: CallerBindings): Promise<void> {
    await this.respond(bindings, async (request, reply, span, head) => {
      const admitted = resolveRequest(request, this.context.view());
      if (admitted.isErr()) {
        this.refuse(bindings, reply, admitted.error);
        return;
      }
      const body = await readBody(bindings.incoming, admitted.value.bodyBytes, this.uploads, head);
      if (body.isErr()) {
        this.refuse(bindings, reply, body.error);
        return;
      }
      try {
        await this.execute(admitted.value.complete(body.value.bytes), reply, span);
      } finally {
        body.value.release();
      }
    });
  }

  private async execute(call: Result<Call, Fault>, reply: Reply, span: HopSpan): Promise<void> {
    if (call.isErr()) {
      reply.fail(call.error);
      return;
    }
    await new CallRun(this.context, call.value, reply, span).run();
  }

  /**
   * Refuses a request. If its body is still arriving, the connection is closed, since the rest of the body could be
   * read as the next request.
   */
  private refuse({ incoming }: CallerBindings, reply: Reply, problem: Fault): void {
    if (!incoming.complete) reply.header('connection', 'close');
    reply.fail(problem);
  }

  private async respond(
    { incoming, outgoing }: CallerBindings,
    handler: (request: CallerRequest, reply: Reply, span: HopSpan, head: HeldHead) => Promise<void>,
  ): Promise<void> {
    const { clock, settings } = this.context;
    const requestId = requestIdOf(incoming);
    const reply = new Reply(outgoing, clock, settings.callerStallMs, requestId);
    const span = startHop('entry.request', 'server', { carrier: traceContextOf(incoming) });
    span.span.setAttribute('request.id', requestId);
    const head = this.arrived.get(incoming)?.head;
    this.open += 1;
    try {
      const waitedMs = this.waitedMs(incoming);
      const request = readHead(incoming, requestId).andThen((one) => afterWait(one, waitedMs));
      if (head === undefined) this.refuse({ incoming, outgoing }, reply, noMemoryForHead());
      else if (request.isErr()) this.refuse({ incoming, outgoing }, reply, request.error);
      else await handler(request.value, reply, span, head);
    } catch (cause) {
      this.context.log.event(entryEvents.unexpected, { requestId, error: String(cause) });
      reply.fail(fault('internal', 'unexpected error', { cause }));
    } finally {
      this.open -= 1;
      this.finish(reply, span);
    }
  }

  private waitedMs(incoming: IncomingMessage): number {
    const now = this.context.clock.monotonic();
    return now - (this.arrived.get(incoming)?.earliestAt ?? now);
  }

  private finish(reply: Reply, span: HopSpan): void {
    const { metrics, log } = this.context;
    const { failure } = reply;
    metrics.count(entryMetrics.requests, 1, { status: String(reply.status), code: failure?.kind ?? 'ok' });
    metrics.timing(entryMetrics.duration, reply.elapsedMs());
    if (reply.firstByteMs !== undefined) metrics.timing(entryMetrics.firstByte, reply.firstByteMs);
    if (reply.stalled) log.event(entryEvents.callerStalled, { requestId: reply.requestId });
    endHop(span, failure?.kind);
    if (failure === undefined) return;
    const kind = failure.ran === 'not-run' ? entryEvents.requestRefused : entryEvents.requestFailed;
    log.event(kind, {
      requestId: reply.requestId,
      code: failure.kind,
      run: failure.ran,
      message: failure.message,
    });
  }
}
