/** A fake gate on the loopback interface that plays a script. */
import { create } from '@bufbuild/protobuf';
import type { MessageInitShape } from '@bufbuild/protobuf';
import { Code, ConnectError } from '@connectrpc/connect';
import type { HandlerContext } from '@connectrpc/connect';
import { gateMessage, listen } from '@jasmineroute/protocol';
import type { RpcServer } from '@jasmineroute/protocol';

type EventInit = NonNullable<MessageInitShape<typeof gateMessage.RunEventSchema>['event']>;

/** One step of a script. */
export type ScriptStep =
  | EventInit
  /** Sends nothing for some milliseconds. */
  | { readonly case: 'pause'; readonly ms: number }
  /** Waits until the promise settles. */
  | { readonly case: 'wait'; readonly for: Promise<unknown> }
  /** Closes the stream without a last event. */
  | { readonly case: 'cut' }
  /** Sends nothing more until the stream is aborted. */
  | { readonly case: 'silence' }
  /** Calls back when the script reaches this step. */
  | { readonly case: 'reached'; readonly action: () => void }
  /** Skips an ordinal. */
  | { readonly case: 'skip' }
  /** Sends the following events with another request's id. */
  | { readonly case: 'crossed' };

export const accepted: ScriptStep = { case: 'accepted', value: create(gateMessage.AcceptedSchema, {}) };
export const cut: ScriptStep = { case: 'cut' };
export const silence: ScriptStep = { case: 'silence' };

export const head = (status: number, type: string): ScriptStep => ({
  case: 'head',
  value: create(gateMessage.HeadSchema, { status, headers: [{ name: 'content-type', value: type }] }),
});

export const sse = head(200, 'text/event-stream');
export const chunk = (text: string): ScriptStep => ({ case: 'chunk', value: Buffer.from(text) });
export const end: ScriptStep = { case: 'end', value: create(gateMessage.EndSchema, {}) };

export const refusal = (kind: string): ScriptStep => ({
  case: 'refusal',
  value: create(gateMessage.RefusalSchema, { kind, message: kind }),
});

export const failure = (kind: string, ran = gateMessage.Ran.MAY_HAVE_RUN): ScriptStep => ({
  case: 'failure',
  value: create(gateMessage.FailureSchema, { kind, message: kind, ran }),
});

/** An SSE event of a chat answer. */
export function delta(content: string, extra: object = {}): string {
  const choices = [{ index: 0, delta: { content }, finish_reason: null }];
  return `data: ${JSON.stringify({ id: 'c1', created: 1, model: 'm', choices, ...extra })}\n\n`;
}

export const doneEvent = 'data: [DONE]\n\n';

type GateScript = (request: gateMessage.RunRequest) => ScriptStep[];

/** A fake gate that records the requests it receives. */
export class FakeGate {
  readonly runs: gateMessage.RunRequest[] = [];
  readonly resumes: gateMessage.ResumeRequest[] = [];
  readonly cancels: gateMessage.CancelRequest[] = [];
  script: GateScript = () => [accepted, end];
  /** Events that a resume sends, starting at its ordinal; undefined: the attempt is unknown. */
  resumeScript: ((request: gateMessage.ResumeRequest) => ScriptStep[]) | undefined;
  cancelAnswer: gateMessage.Ran | 'silence' = gateMessage.Ran.NOT_RUN;
  private server: RpcServer | undefined;

  async start(): Promise<string> {
    this.server = await listen('127.0.0.1', 0, (router) => {
      router.service(gateMessage.Gate, {
        run: (request, context) => this.run(request, context),
        resume: (request, context) => this.resume(request, context),
        cancel: (request) => this.cancel(request),
        probe: () => ({ accepting: true, incarnation: 'e1', estimateMs: 1 }),
      });
    });
    return this.server.address;
  }

  get address(): string {
    return this.server?.address ?? '';
  }

  async close(): Promise<void> {
    await this.server?.close();
  }

  private run(request: gateMessage.RunRequest, context: HandlerContext): AsyncIterable<gateMessage.RunEvent> {
    this.runs.push(request);
    return play(request.requestId, 0n, this.script(request), context.signal);
  }

  private resume(
    request: gateMessage.ResumeRequest,
    context: HandlerContext,
  ): AsyncIterable<gateMessage.RunEvent> {
    this.resumes.push(request);
    if (this.resumeScript === undefined) throw new ConnectError('unknown attempt', Code.NotFound);
    return play(request.requestId, request.fromOrdinal, this.resumeScript(request), context.signal);
  }

  private async cancel(request: gateMessage.CancelRequest): Promise<{ ran: gateMessage.Ran }> {
    this.cancels.push(request);
    if (this.cancelAnswer === 'silence') return new Promise(() => undefined);
    return Promise.resolve({ ran: this.cancelAnswer });
  }
}

async function* play(
  requestId: string,
  from: bigint,
  steps: ScriptStep[],
  signal: AbortSignal,
): AsyncGenerator<gateMessage.RunEvent> {
  const streamAborted = aborted(signal);
  let ordinal = from;
  let id = requestId;
  for (const step of steps) {
    if (step.case === 'wait') await Promise.race([step.for, streamAborted]);
    else if (step.case === 'reached') step.action();
    else if (step.case === 'skip') ordinal += 1n;
    else if (step.case === 'crossed') id = 'another';
    else if (step.case === 'cut') throw new ConnectError('cut', Code.Aborted);
    else if (step.case === 'pause') await new Promise((resolve) => setTimeout(resolve, step.ms));
    else if (step.case === 'silence') await streamAborted;
    else {
      yield create(gateMessage.RunEventSchema, { requestId: id, ordinal, event: step });
      if (step.case !== 'heartbeat') ordinal += 1n;
    }
  }
}

function aborted(signal: AbortSignal): Promise<void> {
  return new Promise((resolve) => {
    if (signal.aborted) resolve();
    signal.addEventListener('abort', () => {
      resolve();
    });
  });
}
