/** Sends one call of the plain service and checks the echo. */
import { request } from 'undici';
import { customerKey } from '../deployment/index.js';
import { parseAnswer } from '../load/index.js';
import type { RequestRecord, SendOptions } from '../load/index.js';
import * as z from 'zod';
import type { PlannedCall } from './plan.js';

const echo = z.object({ method: z.string(), path: z.string(), body: z.string() });

const UNSENT = new Set(['ECONNREFUSED', 'UND_ERR_CONNECT_TIMEOUT']);

type Finding = Pick<RequestRecord, 'outcome' | 'status' | 'code' | 'run' | 'detail'>;

const single = (value: string | string[] | undefined): string => (typeof value === 'string' ? value : '');

async function exchange(call: PlannedCall, options: SendOptions, signal: AbortSignal): Promise<Finding> {
  const answer = await request(`${options.url(0)}${call.path}`, {
    method: call.method,
    dispatcher: options.dispatcher,
    signal,
    headers: {
      ...(call.body === '' ? {} : { 'Content-Type': 'application/json' }),
      Authorization: `Bearer ${customerKey(call.customer)}`,
      'X-Request-Id': call.id,
      'X-Nonce': call.nonce,
      'X-Request-Deadline-Ms': String(call.deadlineMs),
      ...options.headers,
    },
    body: call.body === '' ? null : call.body,
  });
  const text = await answer.body.text();
  const status = answer.statusCode;
  const run = single(answer.headers['x-run-state']);
  if (status >= 400) {
    const { error } = parseAnswer(text);
    const code = error?.code ?? '';
    return { outcome: 'refused', status, code, run: error?.run ?? run, detail: error?.message ?? '' };
  }
  return { ...judge(call, text, single(answer.headers['x-request-id'])), status, code: '', run };
}

function judge(call: PlannedCall, text: string, echoedId: string): Pick<Finding, 'outcome' | 'detail'> {
  if (echoedId !== call.id) return { outcome: 'crossed', detail: `echoed id ${echoedId}` };
  try {
    const got = echo.parse(JSON.parse(text));
    const own = got.method === call.method && got.path === call.path && got.body === call.body;
    return own ? { outcome: 'complete', detail: '' } : { outcome: 'crossed', detail: text.slice(0, 200) };
  } catch {
    return { outcome: 'cut', detail: `clean end of a broken answer: ${text.slice(0, 200)}` };
  }
}

const codeOf = (error: unknown): string =>
  error instanceof Error && 'code' in error && typeof error.code === 'string' ? error.code : '';

/** Sends a call whose intended arrival is `arrival` on the monotonic clock. */
export async function sendPlain(
  call: PlannedCall,
  arrival: number,
  options: SendOptions,
): Promise<RequestRecord> {
  const { clock, giveUpMs } = options;
  const abort = new AbortController();
  const cancel = clock.after(giveUpMs, () => {
    abort.abort();
  });
  const finding = await exchange(call, options, abort.signal).catch((error: unknown): Finding => {
    const detail = `${codeOf(error)} ${String(error)}`;
    const unsent = UNSENT.has(codeOf(error));
    const outcome = abort.signal.aborted ? 'late' : unsent ? 'unreachable' : 'broken';
    return { outcome, status: 0, code: '', run: '', detail };
  });
  cancel();
  return {
    id: call.id,
    customer: call.customer,
    atMs: call.atMs,
    ...finding,
    sentLateMs: 0,
    totalMs: clock.monotonic() - arrival,
    outputTokens: 0,
    redials: 0,
  };
}
