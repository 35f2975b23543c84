import { create } from '@bufbuild/protobuf';
import type { MessageInitShape } from '@bufbuild/protobuf';
import { coordinationEvents } from '@jasmineroute/coordination';
import type { Log } from '@jasmineroute/core';
import { readSharedEvents } from '@jasmineroute/knowledge';
import { controlMessage } from '@jasmineroute/protocol';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import * as z from 'zod';
import { Cluster, until } from '../fixture/index.js';
import type { Node } from '../fixture/index.js';

type Report = controlMessage.ReportRequest['report'];

const replicas = z.object({ voters: z.array(z.string()), learners: z.array(z.string()) });

const configuration = (number: number) => ({ number, routes: [], services: [] });
const source = (number: number): Uint8Array => Buffer.from(`sent ${number}`);

describe('control instances and their followers', () => {
  let cluster: Cluster;
  let stopped: AbortController;
  /** Names in the newest replica configuration that an instance logged. */
  let voters: string[];
  let learners: string[];

  beforeEach(async () => {
    stopped = new AbortController();
    const log: Log = {
      event: ({ id }, fields = {}) => {
        if (id === coordinationEvents.configuration.id) ({ voters, learners } = replicas.parse(fields));
      },
      with: () => log,
    };
    cluster = await Cluster.start(3, { enlists: true, log });
  });

  afterEach(async () => {
    stopped.abort();
    await cluster.stop();
  });

  /** Configuration numbers and announcements that a follower of one instance receives. */
  function follow(node: Node): { numbers: number[]; targets: string[] } {
    const received = { numbers: [] as number[], targets: [] as string[] };
    const client = cluster.clientOf(controlMessage.Configurations, node);
    const read = async (): Promise<void> => {
      const request = { number: 0n, name: 'e1', role: 'entry' };
      for await (const event of client.follow(request, { signal: stopped.signal })) {
        if (event.content.length > 0) received.numbers.push(Number(event.number));
        for (const { id, announcement } of readSharedEvents(event).flatMap(({ targets }) => targets)) {
          received.targets.push(`${id} ${controlMessage.Announcement[announcement]}`);
        }
      }
    };
    read().catch(() => undefined);
    return received;
  }

  /** Opens a stream of reports to one instance. @returns a function that sends one. */
  function reporting(node: Node): (report: Report) => void {
    const waiting: Report[] = [];
    let wake = (): void => undefined;
    async function* requests() {
      while (!stopped.signal.aborted) {
        const report = waiting.shift();
        if (report === undefined) await new Promise<void>((resolve) => (wake = resolve));
        else yield { report };
      }
    }
    const client = cluster.clientOf(controlMessage.Configurations, node);
    const read = async (): Promise<void> => {
      for await (const beat of client.report(requests(), { signal: stopped.signal }))
        expect(beat).toBeDefined();
    };
    read().catch(() => undefined);
    return (report) => {
      waiting.push(report);
      wake();
    };
  }

  it('receive an accepted configuration from every instance, and a target only from the instance that it called', async () => {
    const [first, second, third] = cluster.nodes;
    if (first === undefined || second === undefined || third === undefined) throw new Error('no instances');
    const received = [first, second, third].map(follow);
    const accepted = await second.control.configurations.put(configuration(4), source(4));
    expect(accepted._unsafeUnwrap()).toEqual({ number: 4, stored: true, warnings: [] });
    const target = { name: 't1', service: 's', address: 'a:1', dataCentre: 'x', capacity: 1 };
    const rest = { draining: false, sequence: 1, coldMs: 0, weights: [] };
    third.control.targets.beat({ ...target, ...rest });
    await until(() => received.every(({ numbers }) => numbers.includes(4)));
    await until(() => received[2]?.targets.includes('t1 READY') === true);
    expect(received[0]?.targets).toEqual([]);
  });

  it.each([0, 1])('receive the work of other entries, reported to instance %i', async (at) => {
    const second = cluster.nodes[1];
    const receiver = cluster.nodes[at];
    if (second === undefined || receiver === undefined) throw new Error('no instances');
    const received: string[] = [];
    const read = async (name: string): Promise<void> => {
      const client = cluster.clientOf(controlMessage.Configurations, second);
      const request = { number: 0n, name, role: 'entry', bulk: true };
      for await (const event of client.follow(request, { signal: stopped.signal })) {
        for (const { targets } of readSharedEvents(event).flatMap(({ work }) => work))
          for (const { targetId, tokens } of targets) received.push(`${name} ${targetId} ${tokens}`);
      }
    };
    for (const name of ['e1', 'e2']) read(name).catch(() => undefined);
    const report = reporting(receiver);
    const value = create(controlMessage.EntryWorkSchema, {
      entry: 'e1',
      targets: [{ targetId: 't', tokens: 700 }],
    });
    await until(() => {
      report({ case: 'work', value });
      return received.length > 0;
    });
    expect(new Set(received)).toEqual(new Set(['e2 t 700']));
  });

  it.each([0, 2])(
    'receive the cached blocks of targets, reported to instance %i, and their expiry',
    async (at) => {
      const first = cluster.nodes[0];
      const receiver = cluster.nodes[at];
      if (first === undefined || receiver === undefined) throw new Error('no instances');
      const client = cluster.clientOf(controlMessage.Configurations, first);
      const keys = new Set<number>();
      const read = async (): Promise<void> => {
        const request = { number: 0n, name: 'e1', role: 'entry', bulk: true };
        for await (const event of client.follow(request, { signal: stopped.signal })) {
          for (const { cached } of readSharedEvents(event)) {
            for (const key of cached?.dropped ?? []) keys.delete(key);
            for (const key of cached?.added ?? []) keys.add(key);
          }
        }
      };
      read().catch(() => undefined);
      const report = reporting(receiver);
      const cache = (changes: MessageInitShape<typeof controlMessage.KeptChangesSchema>): void => {
        const value = create(controlMessage.TargetCacheSchema, { address: 'a:1', changes });
        report({ case: 'cache', value });
      };
      cache({ whole: true, added: [7, 8] });
      await until(() => keys.size === 2);
      cache({ dropped: [7] });
      await until(() => keys.size === 1);
      await until(() => keys.size === 0);
    },
  );

  // Guards against requests to a draining target when the process follows another instance than the target called.
  it('receive a target that called another instance, its pause, and the loss of that instance', async () => {
    const [first, second, third] = cluster.nodes;
    if (first === undefined || second === undefined || third === undefined) throw new Error('no instances');
    const received = new Map<string, string>();
    let sources: string[] = [];
    const client = cluster.clientOf(controlMessage.Configurations, first);
    const read = async (): Promise<void> => {
      const request = { number: 0n, name: 'e1', role: 'entry' };
      for await (const event of client.follow(request, { signal: stopped.signal })) {
        const shared = readSharedEvents(event);
        for (const { heard: controls } of shared) sources = controls?.controls ?? sources;
        const own = shared.flatMap(({ targets }) => ({ control: first.address, targets }));
        const others = shared.flatMap(({ relayed }) => relayed);
        const announced = [...own, ...others].flatMap(({ control, targets }) =>
          targets.map((target) => ({ control, target })),
        );
        for (const { control, target } of announced) {
          const state = controlMessage.Announcement[target.announcement];
          received.set(control, `${target.id} ${state}${target.paused ? ' paused' : ''}`);
        }
      }
    };
    read().catch(() => undefined);
    const target = { name: 't1', service: 's', address: 'a:1', dataCentre: 'x', capacity: 1 };
    const beat = { ...target, coldMs: 0, weights: [] };
    third.control.targets.beat({ ...beat, draining: false, sequence: 1 });
    await until(() => received.get(third.address) === 't1 READY');
    const observers = cluster.clientOf(controlMessage.Configurations, second);
    const observation = { targetId: 't1', observation: 1n, paused: true };
    await until(async () => (await observers.observe(observation)).known);
    await until(() => received.get(second.address) === 't1 SILENT paused');
    third.control.targets.beat({ ...beat, draining: true, sequence: 2 });
    await until(() => received.get(third.address) === 't1 DRAINING');
    await until(() => sources.length === 2);
    await cluster.kill(third);
    await until(() => !sources.includes(third.address));
    expect(sources).toEqual([second.address]);
  });

  // Guards against an operator who reads an old configuration from an isolated instance.
  it('read the newest configuration, or nothing without a quorum', async () => {
    const [first, second, third] = cluster.nodes;
    if (first === undefined || second === undefined || third === undefined) throw new Error('no instances');
    await first.control.configurations.put(configuration(1), source(1));
    cluster.isolate(third);
    await until(async () => (await first.control.configurations.put(configuration(2), source(2))).isOk());
    expect((await third.control.configurations.read()).isErr()).toBe(true);
    cluster.heal();
    await until(async () => {
      const read = await third.control.configurations.read();
      return read.isOk() && Buffer.from(read.value?.source ?? []).toString() === 'sent 2';
    });
  });

  it('add an instance that knows only the addresses of some of them', async () => {
    const added = await cluster.add('c4');
    await until(() => cluster.isVouched(added));
    await until(() => cluster.nodes.every((node) => node.control.readiness().ready));
    const [first] = cluster.nodes;
    await first?.control.configurations.put(configuration(8), source(8));
    await until(async () => (await added.control.configurations.read())._unsafeUnwrap()?.number === 8);
  });

  // Guards against an instance that was removed from the voters while it was isolated and never votes again.
  it('lose their vote while they are isolated and others join, and request it again', async () => {
    const [first, second, cut] = cluster.nodes;
    if (first === undefined || second === undefined || cut === undefined) throw new Error('no instances');
    cluster.isolate(cut);
    await cluster.add('c4');
    cluster.isolate(cut);
    await until(() => voters.includes('c4') && !voters.includes(cut.name));
    await cluster.add('c5');
    cluster.isolate(cut);
    await until(() => voters.includes('c5') && !learners.includes(cut.name));
    cluster.heal();
    await until(() => voters.includes(cut.name) && cluster.isVouched(cut));
  });

  // Guards against a process that fails at every start on a machine without a disk.
  it('run beside an instance without a disk, which is not ready and refuses changes as not run', async () => {
    const added = await cluster.add('c4', { dataFolder: undefined });
    await until(() => cluster.nodes.filter((node) => cluster.isVouched(node)).length === 3);
    expect(added.control.readiness().ready).toBe(false);
    const refused = await added.control.configurations.put(configuration(3), source(3));
    expect(refused._unsafeUnwrapErr()).toMatchObject({ kind: 'no-quorum', ran: 'not-run' });
    expect(voters).toEqual(['c1', 'c2', 'c3']);
    const others = cluster.nodes.filter((node) => node !== added);
    await until(() => added.control.referredTo() !== undefined);
    const named = others.find(({ address }) => address === added.control.referredTo());
    if (named === undefined) throw new Error('the referral names no instance');
    await cluster.kill(named);
    await until(() => ![undefined, named.address].includes(added.control.referredTo()));
    expect(others[0]?.control.referredTo()).toBeUndefined();
  });
});
