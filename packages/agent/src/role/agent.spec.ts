import { createClient } from '@connectrpc/connect';
import { StallWatch, silentLog, silentMetrics, systemClock } from '@jasmineroute/core';
import { Peers, controlMessage, gateMessage, listen } from '@jasmineroute/protocol';
import type { RoleContext, RoleProcess, RpcServer } from '@jasmineroute/protocol';
import { afterEach, describe, expect, it } from 'vitest';
import { FakeEngine, EventCollector, waitUntil } from '../fixture/index.js';
import { agentSettings } from '../setting/index.js';
import { createAgent } from './agent.js';

const closers: (() => Promise<unknown>)[] = [];

afterEach(async () => {
  for (const close of closers.splice(0).reverse()) await close();
});

/** A control instance that records heartbeats and answers as the test sets it. */
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
  it('serves while no control instance is reachable', async () => {
    const { agent, engine, gate } = await start(['127.0.0.1:1']);
    expect(agent.readiness()).toEqual({ ready: true, reason: '' });
    const run = new EventCollector((signal) => gate.run(request('a-1'), { signal }));
    await waitUntil(() => engine.executions.length === 1, 'started');
    engine.finish('a-1');
    await run.ended;
    expect(run.last?.case).toBe('end');
  });

  it('announces its target, and immediately when the engine crashes and restarts', async () => {
    // Entries send requests to a crashed engine for seconds, because the heartbeats of its agent continue and are
    // mistaken for a sign that the engine is alive.
    const control = await new FakeControl().start();
    const { engine } = await start([control.address]);
    await waitUntil(() => control.targets.length > 0, 'announced');
    expect(control.targets[0]).toMatchObject({
      service: 's',
      kind: 'model',
      ready: true,
      engineIncarnation: 'engine-1/5',
      capacity: 4,
      models: [{ model: 'm', version: '1' }],
    });
    await engine.crash();
    await waitUntil(() => control.targets.at(-1)?.ready === false, 'not ready');
    await engine.restart('engine-2');
    await waitUntil(() => control.targets.at(-1)?.engineIncarnation === 'engine-2/5', 'new incarnation');
    expect(control.targets.at(-1)?.ready).toBe(true);
  });

  it('announces that it leaves, refuses new runs and finishes the others when drained', async () => {
    // A planned stop interrupts answers, or accepts runs until the end. The agent is stopped while a stream is open and
    // before entries have received its announcement, and either does not wait for the stream or keeps the gate open.
    const control = await new FakeControl().start();
    const { agent, engine, gate } = await start([control.address]);
    await waitUntil(() => control.targets.length > 0, 'announced');
    const run = new EventCollector((signal) => gate.run(request('a-1'), { signal }));
    await waitUntil(() => engine.executions.length === 1, 'started');
    let drained = false;
    const drain = agent.drain().then(() => {
      drained = true;
    });
    const late = new EventCollector((signal) => gate.run(request('a-2'), { signal }));
    await late.ended;
    expect(late.last).toMatchObject({ case: 'refusal', value: { kind: 'target-leaving' } });
    expect(agent.readiness().ready).toBe(false);
    const { LEAVING } = controlMessage.Health;
    await waitUntil(
      () => control.beats.some(({ instance }) => instance?.health === LEAVING),
      'leaving is announced',
    );
    expect(drained).toBe(false);
    engine.emit('a-1', 'whole');
    engine.finish('a-1');
    await Promise.all([run.ended, drain]);
    expect(run.text).toBe('whole');
    expect(engine.executions).toEqual(['a-1']);
  });

  it('stops when a newer agent serves its target', async () => {
    // Two agents of the same name accept runs and send orders to one target. A process is paused, replaced by a new one
    // and resumed, and is never informed that it was superseded.
    const control = await new FakeControl().start();
    const { gate, stops } = await start([control.address]);
    control.superseded = true;
    await waitUntil(() => stops.length > 0, 'stop requested');
    const run = new EventCollector((signal) => gate.run(request('a-1'), { signal }));
    await run.ended;
    expect(run.last).toMatchObject({ case: 'refusal', value: { kind: 'target-leaving' } });
  });
});
