import { createClient } from '@connectrpc/connect';
import { StallWatch, silentLog, silentMetrics, systemClock } from '@jasmineroute/core';
import { Peers, controlMessage, gateMessage, listen } from '@jasmineroute/protocol';
import type { RoleContext, RoleProcess, RpcServer } from '@jasmineroute/protocol';
import { afterEach, describe, expect, it } from 'vitest';
import { FakeEngine, Gathered, until } from '../fixture/index.js';
import { agentSettings } from '../setting/index.js';
import { createAgent } from './agent.js';

const closers: (() => Promise<unknown>)[] = [];

afterEach(async () => {
  for (const close of closers.splice(0).reverse()) await close();
});

/** A control instance that hears beats and answers what a test wants. */
class FakeControl {
  readonly beats: controlMessage.BeatRequest[] = [];
  superseded = false;
  private server?: RpcServer;

  get address(): string {
    return this.server?.address ?? '';
  }

  get targets(): controlMessage.TargetState[] {
    return this.beats.flatMap(({ instance }) => (instance?.target === undefined ? [] : [instance.target]));
  }

  async start(): Promise<this> {
    this.server = await listen('127.0.0.1', 0, (router) => {
      router.service(controlMessage.Directory, {
        beat: (request) => {
          this.beats.push(request);
          return { vouched: true, superseded: this.superseded };
        },
        watch: async function* (_request, context) {
          while (!context.signal.aborted) {
            yield { vouched: true };
            await systemClock.sleep(100);
          }
        },
      });
    });
    closers.push(() => this.server?.close() ?? Promise.resolve());
    return this;
  }
}

interface Started {
  readonly agent: RoleProcess;
  readonly engine: FakeEngine;
  readonly gate: ReturnType<typeof createClient<typeof gateMessage.Gate>>;
  readonly stops: string[];
}

async function start(controls: readonly string[]): Promise<Started> {
  const engine = await new FakeEngine().start();
  closers.push(() => engine.crash());
  const peers = new Peers();
  const stops: string[] = [];
  const context: RoleContext = {
    name: 'agent-1',
    incarnation: 5n,
    dataCentre: 'here',
    controls,
    clock: systemClock,
    stalls: new StallWatch(systemClock),
    log: silentLog,
    metrics: silentMetrics,
    peers,
    stop: (reason) => stops.push(reason),
  };
  const settings = agentSettings.parse({ service: 's', targetUrl: engine.url, healthIntervalMs: '50' });
  const agent = (await createAgent(context, settings))._unsafeUnwrap();
  const server = await listen('127.0.0.1', 0, (router) => {
    agent.routes(router);
  });
  await agent.start(server.address);
  const calls = new Peers();
  closers.push(async () => {
    calls.close();
    await agent.close();
    peers.close();
    await server.close();
  });
  return { agent, engine, stops, gate: createClient(gateMessage.Gate, calls.transport(server.address)) };
}

const request = (attemptId: string) => ({
  requestId: attemptId,
  attemptId,
  service: 's',
  model: 'm',
  method: 'POST',
  path: '/v1/completions',
  body: Buffer.from('{"model":"m","prompt":"p","stream":true}'),
  deadlineMs: 10_000,
  idempotent: true,
  incarnation: 'engine-1/5',
});

describe('an agent', () => {
  it('serves with control out of reach', async () => {
    const { agent, engine, gate } = await start(['127.0.0.1:1']);
    expect(agent.readiness()).toEqual({ ready: true, reason: '' });
    const run = new Gathered((signal) => gate.run(request('a-1'), { signal }));
    await until(() => engine.executions.length === 1, 'begun');
    engine.finish('a-1');
    await run.over;
    expect(run.last?.case).toBe('end');
  });

  it('announces its target, and at once when the engine crashes and comes back', async () => {
    // Symptom: entries send requests to a dead engine for seconds.
    // Sequence: the engine crashes; the agent beside it goes on sending beats.
    // Cause: the agent's own beats were taken for the engine's life.
    const control = await new FakeControl().start();
    const { engine } = await start([control.address]);
    await until(() => control.targets.length > 0, 'announced');
    expect(control.targets[0]).toMatchObject({
      service: 's',
      kind: 'model',
      ready: true,
      engineIncarnation: 'engine-1/5',
      capacity: 4,
      models: [{ model: 'm', version: '1' }],
    });
    await engine.crash();
    await until(() => control.targets.at(-1)?.ready === false, 'not ready');
    await engine.restart('engine-2');
    await until(() => control.targets.at(-1)?.engineIncarnation === 'engine-2/5', 'new incarnation');
    expect(control.targets.at(-1)?.ready).toBe(true);
  });

  it('leaves: says so, refuses new work at once, finishes the rest', async () => {
    // Symptom: a planned stop cuts answers, or takes work until the last moment.
    // Sequence: the agent is told to stop while a stream runs; entries have not heard of it yet.
    // Cause: stopping did not wait for streams, or waited with the gate open.
    const control = await new FakeControl().start();
    const { agent, engine, gate } = await start([control.address]);
    await until(() => control.targets.length > 0, 'announced');
    const run = new Gathered((signal) => gate.run(request('a-1'), { signal }));
    await until(() => engine.executions.length === 1, 'begun');
    let drained = false;
    const drain = agent.drain().then(() => {
      drained = true;
    });
    const late = new Gathered((signal) => gate.run(request('a-2'), { signal }));
    await late.over;
    expect(late.last).toMatchObject({ case: 'refusal', value: { kind: 'target-leaving' } });
    expect(agent.readiness().ready).toBe(false);
    const { LEAVING } = controlMessage.Health;
    await until(
      () => control.beats.some(({ instance }) => instance?.health === LEAVING),
      'leaving is announced',
    );
    expect(drained).toBe(false);
    engine.emit('a-1', 'whole');
    engine.finish('a-1');
    await Promise.all([run.over, drain]);
    expect(run.text).toBe('whole');
    expect(engine.executions).toEqual(['a-1']);
  });

  it('stops when a newer agent serves its target', async () => {
    // Symptom: two agents of one name take work and give orders to the same target.
    // Sequence: a process is paused, a new one is started in its place, and the old one goes on.
    // Cause: the old one never learnt of the new one.
    const control = await new FakeControl().start();
    const { gate, stops } = await start([control.address]);
    control.superseded = true;
    await until(() => stops.length > 0, 'told to stop');
    const run = new Gathered((signal) => gate.run(request('a-1'), { signal }));
    await run.over;
    expect(run.last).toMatchObject({ case: 'refusal', value: { kind: 'target-leaving' } });
  });
});
