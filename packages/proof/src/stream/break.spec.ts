import { afterAll, beforeAll, describe, expect, it } from 'vitest';
import { Scene, ask } from '../fixture/index.js';
import type { Answer } from '../fixture/index.js';

const TOKENS = 60;

function expectWhole(answer: Answer): void {
  expect(answer).toMatchObject({ status: 200, ended: true, broken: false, echoedId: answer.id });
  expect(answer.text).toBe(answer.wanted);
}

describe('streams over broken links', () => {
  let scene: Scene;

  beforeAll(async () => {
    scene = await Scene.start({ stepMs: 30 });
  });

  afterAll(async () => {
    await scene.stop();
  });

  /** Asks, and breaks something at the 10th token of the target that runs the request. */
  const askAndBreak = (
    id: string,
    harm: (agent: string) => unknown,
    model: 'writer' | 'once' = 'writer',
  ): Promise<Answer> =>
    ask({
      url: scene.url(),
      id,
      model,
      tokens: TOKENS,
      onToken: (count) => {
        const holder = scene.holderOf(id);
        if (count === 10 && holder !== undefined) harm(holder.name);
      },
    });

  it('goes on when the link between entry and agent resets', async () => {
    // Symptom: the caller's answer stops in the middle.
    // Sequence: the connection between entry and agent is reset while tokens flow.
    // Cause: a stream that lives only as long as its connection.
    const id = 'reset-entry-agent';
    expectWhole(await askAndBreak(id, (agent) => scene.member(agent).link?.reset()));
    expect(scene.runsOf(id)).toBe(1);
  });

  it('goes on when the link between entry and agent goes silent for good', async () => {
    // Symptom: the caller waits until its deadline; new requests are fine.
    // Sequence: something between entry and agent loses track of the open connection; no end is signalled.
    // Cause: waiting on a connection without a bound on its silence.
    const id = 'silent-entry-agent';
    expectWhole(await askAndBreak(id, (agent) => scene.member(agent).link?.blackHole()));
    expect(scene.runsOf(id)).toBe(1);
  });

  it('goes on when the link between agent and engine resets', async () => {
    // Symptom: the caller's answer stops in the middle, or the request runs a second time.
    // Sequence: the connection between agent and engine is reset while tokens flow.
    // Cause: a break on the last hop taken for the end of the work at the engine.
    const id = 'reset-agent-engine';
    expectWhole(await askAndBreak(id, (agent) => scene.targetOf(agent).link?.reset()));
    expect(scene.runsOf(id)).toBe(1);
  });

  it('goes on when the link between agent and engine goes silent for good', async () => {
    // Symptom: as above, with a wait until the deadline.
    // Sequence: the open connection to the engine loses all bytes; new connections work.
    // Cause: no bound on the engine's silence, although it pings.
    const id = 'silent-agent-engine';
    expectWhole(await askAndBreak(id, (agent) => scene.targetOf(agent).link?.blackHole()));
    expect(scene.runsOf(id)).toBe(1);
  });

  it('says that a non-idempotent answer broke when its engine dies, and never runs it twice', async () => {
    // Symptom: a policy file gets two conflicting notes, or a cut one that looks whole.
    // Sequence: the engine crashes in the middle of a non-idempotent answer.
    // Cause: continuing elsewhere is a second run; a clean end would hide the cut.
    const id = 'once-engine-crash';
    const answer = await askAndBreak(id, (agent) => void scene.targetOf(agent).kill(), 'once');
    expect(answer).toMatchObject({ ended: false, run: 'may-have-run' });
    expect(answer.wanted.startsWith(answer.text)).toBe(true);
    expect(scene.runsOf(id)).toBe(1);
    for (const { name } of scene.agents('lm')) {
      const target = scene.targetOf(name);
      if (!target.process.running) await target.start();
    }
    await scene.cluster.settled();
  });

  it('continues an idempotent answer elsewhere when its engine dies, without a token lost or repeated', async () => {
    // Symptom: the caller's answer stops in the middle, or a part of it comes twice.
    // Sequence: the engine crashes and comes back empty while tokens flow.
    // Cause: nothing remembers what the caller already has.
    const id = 'engine-crash';
    expectWhole(await askAndBreak(id, (agent) => void scene.targetOf(agent).crash()));
    await scene.cluster.settled();
  });

  it('continues an idempotent answer elsewhere when its agent dies', async () => {
    // Symptom, sequence and cause: as above, with the process beside the engine killed.
    const id = 'agent-crash';
    expectWhole(await askAndBreak(id, (agent) => void scene.member(agent).crash()));
    await scene.cluster.settled();
  });

  it('never ends cleanly what an entry that dies had not finished', async () => {
    // Symptom: the caller files half an answer as whole.
    // Sequence: kill -9 of the entry while tokens flow.
    // Cause: a connection's end taken for the answer's end.
    const answer = await ask({
      url: scene.url(2),
      tokens: TOKENS,
      onToken: (count) => {
        if (count === 10) void scene.member('entry-2').crash();
      },
    });
    expect(answer.ended).toBe(false);
    expect(answer.wanted.startsWith(answer.text)).toBe(true);
    await scene.cluster.settled();
  });
});
