import { MemoryDisk } from '@jasmineroute/coordination';
import { afterEach, expect, it } from 'vitest';
import { Cluster, until } from '../fixture/index.js';
import type { Node } from '../fixture/index.js';

const MB = 1_000_000;
const DISK_BYTES = 9 * MB;
const CONFIGURATION_BYTES = 100_000;
const CHANGES = 150;

/** Changes between two restarts. */
const CHANGES_BETWEEN_RESTARTS = 40;

let cluster: Cluster | undefined;

afterEach(async () => {
  await cluster?.stop();
});

const put = async ({ control }: Node, number: number): Promise<boolean> => {
  const source = Buffer.alloc(CONFIGURATION_BYTES, String(number % 10));
  return (await control.configurations.put({ number, routes: [], services: [] }, source)).isOk();
};

// Guards against a disk that the configurations of a long time fill: none is accepted or read any more.
it('an instance on a small disk takes large configurations for ever', async () => {
  const disk = MemoryDisk.empty();
  disk.capacityBytes = DISK_BYTES;
  cluster = await Cluster.start(1, { disk });
  const [node] = cluster.nodes;
  if (node === undefined) throw new Error('no instance');
  let mostUsed = 0;
  for (let number = 1; number <= CHANGES; number += 1) {
    expect(await put(node, number), `configuration ${number}`).toBe(true);
    mostUsed = Math.max(mostUsed, disk.usedBytes());
    if (number % CHANGES_BETWEEN_RESTARTS !== 0) continue;
    await cluster.kill(node);
    await cluster.restart(node);
    await until(() => node.control.readiness().ready);
    expect((await node.control.configurations.read())._unsafeUnwrap()?.number).toBe(number);
  }
  expect(mostUsed).toBeLessThan(DISK_BYTES * 0.75);
}, 60_000);
