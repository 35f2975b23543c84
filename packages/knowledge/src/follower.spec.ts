import { create } from '@bufbuild/protobuf';
import { silentLog, systemClock } from '@jasmineroute/core';
import { Peers, controlMessage, listen } from '@jasmineroute/protocol';
import type { RpcServer } from '@jasmineroute/protocol';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { Follower } from './follower.js';
import { Knowledge } from './knowledge.js';

/** Time in which a process that has started must have found a control instance that came up meanwhile. */
const SOON_MS = 400;

/** How long control is down, milliseconds: longer than all doubling pauses. */
const DOWN_MS = 2_000;

/** Followers at once, as the pauses are drawn by chance. */
const SEVERAL = 8;

describe('a follower that has just started', () => {
  let servers: RpcServer[];
  let peers: Peers;
  let followers: Follower[];

  beforeEach(() => {
    servers = [];
    peers = new Peers();
    followers = [];
  });

  afterEach(async () => {
    for (const follower of followers) follower.stop();
    peers.close();
    await Promise.all(servers.map((server) => server.close()));
  });

  /** A control instance; its first `mute` streams tell nothing. */
  async function control(port: number, mute = 0): Promise<RpcServer> {
    let streams = 0;
    const server = await listen('127.0.0.1', port, (router) => {
      router.service(controlMessage.Configurations, {
        follow: async function* (_request, { signal }) {
          streams += 1;
          if (streams > mute) yield create(controlMessage.FollowEventSchema, { vouched: true });
          await new Promise((resolve) => {
            signal.addEventListener('abort', resolve, { once: true });
          });
        },
      });
    });
    servers.push(server);
    return server;
  }

  /** Follows a control instance; what it learns. */
  function follow(address: string): Knowledge {
    const knowledge = new Knowledge(systemClock, silentLog);
    const parts = { knowledge, peers, clock: systemClock, log: silentLog };
    const follower = new Follower({ name: 'e1', role: 'entry', controls: [address], ...parts });
    followers.push(follower);
    follower.start();
    return knowledge;
  }

  async function confirmed(knowledge: Knowledge, withinMs: number): Promise<boolean> {
    const end = systemClock.monotonic() + withinMs;
    while (!knowledge.confirmed() && systemClock.monotonic() < end) await systemClock.sleep(5);
    return knowledge.confirmed();
  }

  it('finds a control instance soon after that came up', async () => {
    // Symptom: after a loss of power half of the entries refuse what comes for 0.4 s longer than the others.
    // Sequence: they start before control does; each attempt is refused; the pauses between attempts double.
    // Cause: a process that serves nobody waited as long as one that is only short of one control instance.
    const { address } = await control(0);
    await servers.splice(0)[0]?.close();
    const several = Array.from({ length: SEVERAL }, () => follow(address));
    await systemClock.sleep(DOWN_MS);
    await control(Number(address.split(':')[1]));
    const found = await Promise.all(several.map((one) => confirmed(one, SOON_MS)));
    expect(found).toEqual(several.map(() => true));
  });

  it('gives up a stream that tells nothing at first', async () => {
    // Symptom: an entry that has started serves nobody for two seconds.
    // Sequence: its first connection reaches a host that is not up yet, and hangs.
    // Cause: a stream that had told nothing was waited for as long as one that was heard.
    const { address } = await control(0, 1);
    expect(await confirmed(follow(address), 700 + SOON_MS)).toBe(true);
  });
});
