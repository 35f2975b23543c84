import { create } from '@bufbuild/protobuf';
import { controlMessage } from '@jasmineroute/protocol';
import { blockLoop } from '@jasmineroute/testkit';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { Cluster, until } from '../fixture/index.js';

const { Announcement } = controlMessage;

const LEFT = { name: 't', born: 1_000 };

describe('a departure among three control instances', () => {
  let cluster: Cluster;

  beforeEach(async () => {
    cluster = await Cluster.start(3);
  });

  afterEach(async () => {
    await cluster.stop();
  });

  const statesAt = (): (string | undefined)[] =>
    cluster.nodes.map(({ control }) => {
      const found = control.targets.since(0).find(({ id }) => id === 't/1000');
      return found === undefined ? undefined : Announcement[found.announcement];
    });

  it('is known at the others when it is acknowledged', async () => {
    expect(await cluster.nodes[1]?.control.leave(LEFT)).toBe(true);
    await until(() => statesAt().every((state) => state === 'LEFT'));
  });

  // Guards against a departure that is refused although the others hold it, as their answers are read after a stall of the process.
  it('is acknowledged when the process stalls while the others store it', async () => {
    const left = cluster.nodes[1]?.control.leave(LEFT);
    blockLoop(800);
    expect(await left).toBe(true);
  });

  // Guards against an acknowledgement by an instance that nobody hears: the entries go on sending to the target.
  it('is not acknowledged by an instance without a majority', async () => {
    const [first, second] = cluster.nodes;
    if (first === undefined || second === undefined) throw new Error('no instances');
    cluster.isolate(first);
    expect(await first.control.leave(LEFT)).toBe(false);
    expect(await second.control.leave(LEFT)).toBe(true);
    cluster.heal();
    const departures = [
      create(controlMessage.DepartureSchema, { name: 'u', announcement: Announcement.DRAINING }),
    ];
    const client = cluster.clientOf(controlMessage.Departures, second);
    expect((await client.record({ departures })).stored).toBe(true);
  });
});
