import { silentLog, systemClock } from '@jasmineroute/core';
import { describe, expect, it } from 'vitest';
import { MemoryDisk } from '../storage/index.js';
import { ReplicatedLog } from './replicatedLog.js';

const unreachable = (): never => {
  throw new TypeError('Invalid URL');
};

describe('a failed task of a replica', () => {
  async function start(apply: () => Uint8Array, onFailure: (error: unknown) => void): Promise<ReplicatedLog> {
    const opened = await ReplicatedLog.open({
      name: 'a',
      folder: '/a',
      initialReplicas: [{ name: 'a', address: 'a' }],
      connect: unreachable,
      drop: () => undefined,
      clock: systemClock,
      log: silentLog,
      disk: MemoryDisk.empty(),
      stateMachine: { apply, snapshot: () => new Uint8Array(), restore: () => undefined },
      onFailure,
    });
    const replica = opened._unsafeUnwrap();
    await replica.start('a');
    return replica;
  }

  // Guards against a stopped replica in a process that keeps running: it is not restarted, and its vote is missing for
  // good.
  it('is reported', async () => {
    const failures: unknown[] = [];
    const bug = new Error('a bug');
    const fail = (): never => {
      throw bug;
    };
    const replica = await start(fail, (error) => failures.push(error));
    const outcome = await replica.propose(new Uint8Array([1]), 5_000);
    expect(outcome.isErr()).toBe(true);
    expect(failures).toEqual([bug]);
    expect((await replica.propose(new Uint8Array([1]), 5_000))._unsafeUnwrapErr().kind).toBe('stopping');
    await replica.close();
  });

  // Guards against a new member with an invalid address that stops the leader of the cluster that it asks to join.
  it('is not caused by an invalid address', async () => {
    const failures: unknown[] = [];
    const replica = await start(
      () => new Uint8Array(),
      (error) => failures.push(error),
    );
    expect((await replica.propose(new Uint8Array([1]), 5_000)).isOk()).toBe(true);
    const added = replica.enlist({ name: 'b', address: 'b' });
    await systemClock.sleep(600);
    expect((await replica.propose(new Uint8Array([1]), 5_000)).isOk()).toBe(true);
    expect(failures).toEqual([]);
    await replica.close();
    expect((await added).isErr()).toBe(true);
  });
});
