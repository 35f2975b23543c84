import { afterEach, describe, expect, it } from 'vitest';
import { controlMessage, gateMessage } from '@jasmineroute/protocol';
import {
  FakeGate,
  accepted,
  chunk,
  cut,
  delta,
  doneEvent,
  end,
  head,
  refusal,
  silence,
  sse,
} from '../testing/fakeGate.js';
import type { ScriptStep } from '../testing/fakeGate.js';
import { FakeClaims, chat, modelDocument, startTestEntry, target, waitUntil } from '../testing/testEntry.js';
import type { TestEntry } from '../testing/testEntry.js';

const { RUNNING, DONE } = controlMessage.ClaimState;

const testEntries: TestEntry[] = [];
const gates: FakeGate[] = [];
const document = modelDocument({ nonIdempotent: [{ models: ['m'] }], claims: { answerBytes: 200 } });

async function startGate(): Promise<FakeGate> {
  const started = new FakeGate();
  await started.start();
  gates.push(started);
  return started;
}

async function startEntry(
  targets: FakeGate[],
  claims: FakeClaims,
  name = 'entry-1',
  streamSilenceMs = 500,
): Promise<TestEntry> {
  const instances = targets.map((one, index) => target(`agent-${index}`, one.address));
  const settings = { streamSilenceMs, resumeWindowMs: 600 };
  const started = await startTestEntry([document], instances, settings, name, claims);
  testEntries.push(started);
  return started;
}

const keyed = { 'idempotency-key': 'k1' };
const codeOf = async (answer: Response): Promise<unknown> =>
  ((await answer.json()) as { error: { code: string; run: string } }).error;
const whole = [accepted, sse, chunk(delta('a')), chunk(doneEvent), end];

afterEach(async () => {
  await Promise.all(testEntries.splice(0).map((one) => one.close()));
  await Promise.all(gates.splice(0).map((one) => one.close()));
});

describe('a call that may not be repeated', () => {
  // Guards against a second execution of a non-idempotent request. Its answer is lost on the way to the caller, who
  // retries at another entry, and that entry has no record of the first execution.
  it('is answered from the stored answer when it is retried at another entry', async () => {
    const one = await startGate();
    const claims = new FakeClaims();
    const [first, second] = [await startEntry([one], claims), await startEntry([one], claims, 'entry-2')];
    one.script = () => whole;
    const answer = await (await chat(first.url, {}, keyed)).text();
    await waitUntil(() => claims.claims.get('k1')?.answer !== undefined);
    const again = await chat(second.url, {}, keyed);
    expect(again.headers.get('x-idempotent-replay')).toBe('true');
    expect(again.headers.get('content-type')).toBe('text/event-stream');
    expect(await again.text()).toBe(answer);
    expect(one.runs).toHaveLength(1);
  });

  it('is not sent at all while claims can not be stored', async () => {
    const one = await startGate();
    const claims = new FakeClaims();
    const { url } = await startEntry([one], claims);
    claims.unreachable = true;
    const answer = await chat(url, {}, keyed);
    expect(answer.headers.get('retry-after')).toBe('2');
    expect(await codeOf(answer)).toMatchObject({ code: 'claims-unavailable', run: 'not-run' });
    expect(one.runs).toHaveLength(0);
  });

  it('is reported as running while it runs', async () => {
    const one = await startGate();
    const claims = new FakeClaims();
    // The gate is silent while it runs the first call, which must not count as a loss of its connection.
    const { url, directory } = await startEntry([one], claims, 'entry-1', 20_000);
    directory.set([
      target('agent-0', one.address),
      { ...target('entry-1', '127.0.0.1:1'), role: 'entry', incarnation: 7n, target: undefined },
    ]);
    let finish: (value: unknown) => void = () => undefined;
    const proceed = new Promise((resolve) => (finish = resolve));
    one.script = () => [
      accepted,
      sse,
      chunk(delta('a')),
      { case: 'wait', for: proceed },
      chunk(doneEvent),
      end,
    ];
    const first = await chat(url, {}, keyed);
    const second = await chat(url, {}, keyed);
    expect(second.status).toBe(409);
    expect(second.headers.get('retry-after')).toBe('1');
    expect(await codeOf(second)).toMatchObject({ code: 'already-running' });
    finish(undefined);
    expect(await first.text()).toContain(doneEvent);
    expect(one.runs).toHaveLength(1);
  });

  it('is refused when its key comes with another body', async () => {
    const one = await startGate();
    const { url } = await startEntry([one], new FakeClaims());
    one.script = () => whole;
    await (await chat(url, {}, keyed)).text();
    const answer = await chat(url, { max_tokens: 3 }, keyed);
    expect(answer.status).toBe(422);
    expect(await codeOf(answer)).toMatchObject({ code: 'key-reused', run: 'not-run' });
  });

  it('is not run again after a break, and its retry gets an error that says so', async () => {
    const one = await startGate();
    const { url, claims } = await startEntry([one], new FakeClaims());
    one.script = () => [accepted, sse, chunk(delta('a')), cut];
    await (await chat(url, {}, keyed)).text();
    await waitUntil(() => claims.claims.get('k1')?.state !== RUNNING);
    expect(await codeOf(await chat(url, {}, keyed))).toMatchObject({
      code: 'outcome-unknown',
      run: 'may-have-run',
    });
    expect(one.runs).toHaveLength(1);
  });

  it('releases its key when it is proven that it has not run', async () => {
    const [one, two] = [await startGate(), await startGate()];
    const { url, claims } = await startEntry([one, two], new FakeClaims());
    let runs = 0;
    one.script = () => {
      runs += 1;
      return runs === 1 ? [refusal('target-leaving')] : whole;
    };
    two.script = one.script;
    expect(await (await chat(url, {}, keyed)).text()).toBe(delta('a') + doneEvent);
    const ids = [...one.runs, ...two.runs].map(({ attemptId }) => attemptId);
    expect(new Set(ids).size).toBe(2);
    await waitUntil(() => claims.claims.get('k1')?.answer !== undefined);
  });

  // Guards against an unknown outcome after a disconnect. The caller's connection breaks in the middle of the answer
  // and the caller retries; cancelling the call at the disconnect would leave it unknown whether the request took
  // effect.
  it('finishes although its caller disconnected, so that the retry gets the answer', async () => {
    const one = await startGate();
    const { url, claims } = await startEntry([one], new FakeClaims());
    let finish: (value: unknown) => void = () => undefined;
    const proceed = new Promise((resolve) => (finish = resolve));
    const heartbeat: ScriptStep = { case: 'heartbeat', value: {} };
    const pauses = Array.from({ length: 10 }, (): ScriptStep[] => [
      { case: 'pause', ms: 20 },
      heartbeat,
    ]).flat();
    one.script = () => [
      accepted,
      sse,
      chunk(delta('a')),
      { case: 'wait', for: proceed },
      ...pauses,
      chunk(doneEvent),
      end,
    ];
    const hangUp = new AbortController();
    const answer = await chat(url, {}, keyed, hangUp.signal);
    await answer.body?.getReader().read();
    hangUp.abort();
    finish(undefined);
    await waitUntil(() => claims.claims.get('k1')?.answer !== undefined);
    expect(await (await chat(url, {}, keyed)).text()).toBe(delta('a') + doneEvent);
    expect(one.cancels).toHaveLength(0);
    expect(one.runs).toHaveLength(1);
  });

  it('reports that it ran when its answer was too large to store', async () => {
    const one = await startGate();
    const { url, claims } = await startEntry([one], new FakeClaims());
    one.script = () => [accepted, head(200, 'application/json'), chunk(`"${'x'.repeat(300)}"`), end];
    await (await chat(url, { stream: false }, keyed)).text();
    await waitUntil(() => claims.claims.get('k1')?.state === DONE);
    const again = await chat(url, { stream: false }, keyed);
    expect(await codeOf(again)).toMatchObject({ code: 'answer-not-kept', run: 'ran' });
  });
});

// Guards against a call that is refused as running although no attempt runs. The claim is stored but the response is
// lost, so the claim request is sent again to another control instance and finds the key claimed by its own attempt.
it('treats its own stored claim as granted when the response was lost', async () => {
  const one = await startGate();
  const claims = new FakeClaims();
  const { url } = await startEntry([one], claims);
  const first = claims.claim.bind(claims);
  claims.claim = async (request) => {
    await first(request);
    return first(request);
  };
  one.script = () => whole;
  expect(await (await chat(url, {}, keyed)).text()).toBe(delta('a') + doneEvent);
});

describe('a claim of an entry that is gone', () => {
  const abandonClaim = async (claims: FakeClaims, url: string): Promise<void> => {
    // A first call stores the claim with the fingerprint of this request; then its entry is gone.
    await (await chat(url, {}, keyed)).text();
    await waitUntil(() => claims.claims.get('k1')?.state !== RUNNING);
    const claim = claims.claims.get('k1');
    if (claim !== undefined) Object.assign(claim, { state: RUNNING, answer: undefined });
  };

  // Guards against retries that are refused as running until the claim window ends. The entry is killed while it
  // streams an answer, the caller retries at another entry, and only the killed entry would have settled the claim.
  it('is answered with the answer that the agent still has', async () => {
    const one = await startGate();
    const claims = new FakeClaims();
    const { url } = await startEntry([one], claims);
    one.script = () => whole;
    await abandonClaim(claims, url);
    const secondEntry = await startEntry([one], claims, 'entry-2');
    one.resumeScript = () => whole;
    const text = await (await chat(secondEntry.url, {}, keyed)).text();
    expect(text).toBe(delta('a') + doneEvent);
    expect(one.resumes[0]).toMatchObject({ fromOrdinal: 0n, attemptId: one.runs[0]?.attemptId });
    expect(one.runs).toHaveLength(1);
    await waitUntil(() => claims.claims.get('k1')?.answer !== undefined);
  });

  it('is taken over when the gate proves that the request did not run', async () => {
    const one = await startGate();
    const claims = new FakeClaims();
    const { url } = await startEntry([one], claims);
    one.script = () => whole;
    await abandonClaim(claims, url);
    const secondEntry = await startEntry([one], claims, 'entry-2');
    one.cancelAnswer = gateMessage.Ran.NOT_RUN;
    expect(await (await chat(secondEntry.url, {}, keyed)).text()).toBe(delta('a') + doneEvent);
    expect(one.cancels[0]).toMatchObject({ incarnation: 'e1', attemptId: one.runs[0]?.attemptId });
    expect(one.runs).toHaveLength(2);
  });

  // Guards against a retry that cancels the execution whose answer it asks for. The entry is gone and its agent is slow
  // to answer the entry that takes over; a cancellation sent to prove "not run" would stop the running request.
  it('is left running while its agent does not answer', async () => {
    const one = await startGate();
    const claims = new FakeClaims();
    const { url } = await startEntry([one], claims);
    one.script = () => whole;
    await abandonClaim(claims, url);
    const secondEntry = await startEntry([one], claims, 'entry-2');
    one.resumeScript = () => [silence];
    expect(await codeOf(await chat(secondEntry.url, {}, keyed))).toMatchObject({ code: 'already-running' });
    expect(one.cancels).toHaveLength(0);
    expect(claims.claims.get('k1')?.state).toBe(RUNNING);
  });

  it('has an unknown outcome when the gate can not prove that the request did not run', async () => {
    const one = await startGate();
    const claims = new FakeClaims();
    const { url } = await startEntry([one], claims);
    one.script = () => whole;
    await abandonClaim(claims, url);
    const secondEntry = await startEntry([one], claims, 'entry-2');
    one.cancelAnswer = gateMessage.Ran.MAY_HAVE_RUN;
    expect(await codeOf(await chat(secondEntry.url, {}, keyed))).toMatchObject({ code: 'outcome-unknown' });
    expect(one.runs).toHaveLength(1);
  });
});
