import { Peers, controlMessage, faultOf } from '@jasmineroute/protocol';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { Cluster, until } from '../fixture/index.js';
import type { Node } from '../fixture/index.js';

/** Time within which a repeated read succeeds, milliseconds. */
const READ_WITHIN_MS = 4_000;

describe('control instances whose callers cancel', () => {
  let cluster: Cluster;
  let callers: Peers;

  beforeEach(async () => {
    cluster = await Cluster.start(3);
    callers = new Peers();
  });

  afterEach(async () => {
    callers.close();
    await cluster.stop();
  });

  /** Cancels a voter request while its connection is opened. */
  async function cancelRequest(node: Node): Promise<void> {
    callers.drop(node.address);
    const caller = new AbortController();
    const { enlist } = controlMessage.Configurations.method;
    const request = { name: 'c9', address: '127.0.0.1:9' };
    const call = callers.transport(node.address).unary(enlist, caller.signal, undefined, undefined, request);
    caller.abort();
    await call.catch(() => undefined);
  }

  const isRead = async (): Promise<boolean> => {
    const reads = cluster.nodes.map(({ control }) => control.configurations.read());
    return (await Promise.all(reads)).some((read) => read.isOk());
  };

  // Guards against a cancelled voter request that is handled as one without a name and stops the replica of the leader for
  // good.
  it('still read the configuration back after cancelled voter requests', async () => {
    for (let round = 0; round < 3; round += 1) {
      await until(() => cluster.nodes.some(({ control }) => control.readiness().ready));
      await Promise.all(cluster.nodes.map(cancelRequest));
      await until(isRead, READ_WITHIN_MS);
    }
    expect(cluster.nodes.every(({ control }) => control.readiness().ready)).toBe(true);
  });

  // Guards against a voter request without a name, or with an address that can't be called, that stops the replica of the
  // leader for good.
  it.each([
    { name: '', address: '127.0.0.1:9' },
    { name: 'c9', address: '' },
    { name: 'c9', address: 'nowhere' },
  ])('still read the configuration back after the voter request %j', async (request) => {
    for (const node of cluster.nodes) {
      const call = cluster.clientOf(controlMessage.Configurations, node).enlist(request);
      expect(faultOf(await call.catch((error: unknown) => error)).kind).toBe('invalid-request');
    }
    await until(isRead, READ_WITHIN_MS);
    expect(cluster.nodes.every(({ control }) => control.readiness().ready)).toBe(true);
  });
});
