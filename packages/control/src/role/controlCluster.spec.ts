import { silentMetrics, systemClock } from '@jasmineroute/core';
import { ClaimClient, ControlAddresses, ControlClient } from '@jasmineroute/directory';
import { Peers, controlMessage } from '@jasmineroute/protocol';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { Cluster, controlText, modelText, until } from '../fixture/index.js';
import type { Node } from '../fixture/index.js';

const { ClaimState: State } = controlMessage;

describe('three control instances', () => {
  let cluster: Cluster;

  beforeEach(async () => {
    cluster = await Cluster.start(3);
  });

  afterEach(async () => {
    await cluster.stop();
  });

  const nodeAt = (index: number): Node => {
    const node = cluster.nodes[index];
    if (node === undefined) throw new Error(`no instance ${index}`);
    return node;
  };

  const apply = async (
    node: Node,
    change: {
      text?: string;
      service?: string;
      applyId: string;
      baseVersion?: bigint;
      operator?: string;
      key?: string;
    },
  ): Promise<controlMessage.ApplyResponse['outcome']> => {
    const documents = cluster.clientOf(controlMessage.Documents, node);
    const request = { service: 'lm-pool', text: modelText(), key: 'alice-key', baseVersion: 0n, ...change };
    return (await documents.apply(request)).outcome;
  };

  /** Tries the next instance after a failure, as a client does. */
  const applyAnywhere = async (
    change: Parameters<typeof apply>[1],
  ): Promise<controlMessage.ApplyResponse['outcome']> => {
    for (let attempt = 0; ; attempt += 1) {
      const alive = cluster.nodes.filter(({ running }) => running);
      const node = alive[attempt % alive.length] ?? nodeAt(0);
      try {
        return await apply(node, change);
      } catch (error) {
        if (attempt === 20) throw error;
      }
    }
  };

  const claim = async (node: Node, attemptId: string, key = 'k'): Promise<controlMessage.ClaimResponse> => {
    const claims = cluster.clientOf(controlMessage.Claims, node);
    const names = { service: 'desk', customer: 'lloyd', key, agent: 'agent-1' };
    return claims.claim({ ...names, attemptId, fingerprint: Uint8Array.of(1), windowMs: 60_000n });
  };

  const leader = async (): Promise<Node> => {
    let found: Node | undefined;
    await until(async () => {
      const asked = cluster.nodes.find((node) => cluster.isVouched(node));
      found = asked && (await cluster.leader(asked));
      return found?.running === true;
    });
    return found ?? nodeAt(0);
  };

  // Guards against the loss of the quorum when the drop of a connection for streams also cuts the messages of the log.
  it('stay in contact with a quorum while connections of other calls are dropped again and again', async () => {
    const led = await leader();
    const lost = new Set<string>();
    const end = systemClock.monotonic() + 3_000;
    while (systemClock.monotonic() < end) {
      for (const node of cluster.nodes) {
        for (const { address } of cluster.nodes) node.peers.drop(address);
        if (!cluster.isVouched(node)) lost.add(node.name);
      }
      await systemClock.sleep(2);
    }
    expect([...lost]).toEqual([]);
    expect(await leader()).toBe(led);
  });

  it('lets racing operators on all instances replace each version exactly once', async () => {
    // Guards against an accepted change that is missing from the history, and two changes with one version: operators at three
    // instances apply at once, and versions are compared with the state of one instance instead of at the log position.
    const accepted: { version: bigint; operator: string }[] = [];
    const operate = async (index: number): Promise<void> => {
      const operator = `operator-${index}`;
      let baseVersion = 0n;
      for (let round = 0; round < 12; round += 1) {
        const text = modelText({ mark: `${operator} ${round}` });
        const change = { text, baseVersion, operator, applyId: `${operator}/${round}` };
        const outcome = await apply(nodeAt(index % 3), change);
        if (outcome.case === 'accepted') accepted.push({ version: outcome.value.version, operator });
        if (outcome.case === 'conflict') expect(outcome.value.version).toBeGreaterThan(baseVersion);
        if (outcome.case === 'accepted' || outcome.case === 'conflict') baseVersion = outcome.value.version;
        else expect.unreachable(`outcome ${String(outcome.case)}`);
      }
    };
    await Promise.all([0, 1, 2, 3, 4, 5].map(operate));

    accepted.sort((a, b) => Number(a.version - b.version));
    expect(accepted.map(({ version }) => version)).toEqual(accepted.map((_, index) => BigInt(index + 1)));
    for (const node of cluster.nodes) {
      const history = await cluster.clientOf(controlMessage.Documents, node).history({ service: 'lm-pool' });
      const kept = history.versions.map(({ version, operator }) => ({ version, operator })).reverse();
      expect(kept).toEqual(accepted);
    }
  });

  it('keeps accepted documents and first answers when the leader is lost', async () => {
    // Guards against the loss of an accepted document, and a conflict of a resend with its own change: the leader is lost
    // with the answer, after it accepted before a quorum had the entry, or kept the answer only for itself.
    const first = await leader();
    const change = { applyId: 'a-1', operator: 'alice' };
    const outcome = await apply(first, change);
    expect(outcome.case).toBe('accepted');
    await cluster.kill(first);
    expect(await applyAnywhere(change)).toEqual(outcome);
    const next = { applyId: 'a-2', baseVersion: 1n, text: modelText({ mark: 'two' }) };
    expect((await applyAnywhere(next)).case).toBe('accepted');

    await cluster.restart(first);
    await until(() => cluster.isVouched(first));
    const got = await cluster.clientOf(controlMessage.Documents, first).get({ service: 'lm-pool' });
    expect(got).toMatchObject({ vouched: true, document: { version: 2n } });
  });

  it('keeps claims after the loss of the leader and after a restart of all', async () => {
    // Guards against a non-idempotent request that runs twice: its claim is granted before a quorum has it on disk, the
    // leader is lost, all instances restart, and the caller resends.
    const first = await leader();
    expect((await claim(first, 'one')).state).toBe(State.GRANTED);
    await cluster.kill(first);
    const other = cluster.nodes.find(({ running }) => running) ?? first;
    await until(async () => {
      const answer = await claim(other, 'two').catch(() => undefined);
      if (answer !== undefined) expect(answer).toMatchObject({ state: State.RUNNING, attemptId: 'one' });
      return answer !== undefined;
    });

    await Promise.all(cluster.nodes.map((node) => cluster.kill(node)));
    await Promise.all(cluster.nodes.map((node) => cluster.restart(node)));
    await until(() => cluster.nodes.every((node) => cluster.isVouched(node)));
    expect((await claim(nodeAt(1), 'three')).state).toBe(State.RUNNING);
    expect((await claim(nodeAt(2), 'one')).state).toBe(State.GRANTED);
  });

  it('grants each key once when all instances get claims at once and the leader is lost', async () => {
    // Guards against two entries that run the same request: resends arrive at several entries at once while the leader is
    // lost, and two leaders, or a leader and its log, each grant the key.
    const granted = new Map<string, Set<string>>();
    const first = await leader();
    const ask = async (node: Node, index: number): Promise<void> => {
      for (let key = 0; key < 40; key += 1) {
        const answer = await claim(node, `attempt-${index}-${key}`, `k-${key}`).catch(() => undefined);
        if (answer?.state !== State.GRANTED) continue;
        granted.set(`k-${key}`, (granted.get(`k-${key}`) ?? new Set()).add(answer.attemptId));
      }
    };
    const asking = cluster.nodes.map(ask);
    await until(() => granted.size > 5);
    await cluster.kill(first);
    await Promise.all(asking);
    expect([...granted.values()].map(({ size }) => size)).toEqual([...granted.values()].map(() => 1));
  });

  it('directs clients of claims to the leader, and to another instance when it is lost', async () => {
    // Guards against an extra round trip for each claim, and claims that fail although a quorum exists: the client never learns
    // the address of the leader, or keeps it after the leader is lost.
    const first = await leader();
    const asked: string[] = [];
    const peers = new Peers();
    const transport = peers.transport.bind(peers);
    peers.transport = (address) => {
      asked.push(address);
      return transport(address);
    };
    const followers = cluster.nodes.filter((node) => node !== first).map(({ address }) => address);
    const controls = [...followers, first.address];
    // In the order given: the leader comes last.
    let draw = 0;
    const addresses = new ControlAddresses(
      controls,
      () => performance.now(),
      () => (draw += 0.1),
    );
    const options = { controls: addresses, peers, clock: systemClock, metrics: silentMetrics };
    const client = new ClaimClient(new ControlClient(options));
    const state = async (attemptId: string): Promise<controlMessage.ClaimState> => {
      const fields = { service: 'desk', customer: 'lloyd', key: attemptId, attemptId, agent: 'a' };
      const request = { ...fields, fingerprint: Uint8Array.of(1), windowMs: 60_000n };
      return (await client.claim(request, 5_000))._unsafeUnwrap().state;
    };
    expect(await state('one')).toBe(State.GRANTED);
    expect(await state('two')).toBe(State.GRANTED);
    expect(asked).toEqual([followers[0], first.address]);
    await cluster.kill(first);
    expect(await state('three')).toBe(State.GRANTED);
    peers.close();
  });

  it('keeps a turn for the time that its holder counts, also when the granting leader is isolated', async () => {
    // Guards against two executors that send orders to one target: the leader is isolated right after it granted a turn,
    // and the new leader counts the lease from a moment before the grant, or not at all.
    const ttlMs = 2_500;
    const take = async (node: Node, holder: string): Promise<controlMessage.TakeResponse> => {
      const turns = cluster.clientOf(controlMessage.Turns, node);
      return turns.take({ name: 'weights', holder, incarnation: 1n, limit: 1, ttlMs });
    };
    const first = await leader();
    const asked = performance.now();
    const turn = await take(first, 'a');
    expect(turn.granted).toBe(true);
    cluster.isolate(first);
    const other = cluster.nodes.find((node) => node !== first) ?? first;
    let next: controlMessage.TakeResponse | undefined;
    await until(async () => {
      next = await take(other, 'b').catch(() => undefined);
      return next?.granted === true;
    });
    expect(performance.now() - asked).toBeGreaterThan(ttlMs);
    expect(next?.fence).toBeGreaterThan(turn.fence);
  });

  it('notifies watchers when an instance is isolated, and reverts nothing when it is back', async () => {
    // Guards against an entry that trusts an old document: a control instance is isolated while the others accept a
    // document, and doesn't notice it, or brings its older state back afterwards.
    await apply(nodeAt(0), { applyId: 'a-1' });
    const lone = await leader();
    cluster.isolate(lone);
    const directory = cluster.clientOf(controlMessage.Directory, lone);
    const abort = new AbortController();
    for await (const event of directory.watch({ name: 'w1' }, { signal: abort.signal })) {
      expect(event.revision).toBe(1n);
      if (!event.vouched) break;
    }
    expect(lone.control.readiness().ready).toBe(false);

    const others = cluster.nodes.filter((node) => node !== lone);
    await until(() => others.every((node) => cluster.isVouched(node)));
    const two = { applyId: 'a-2', baseVersion: 1n, text: modelText({ mark: 'two' }) };
    expect((await apply(others[0] ?? lone, two)).case).toBe('accepted');
    const stale = await cluster.clientOf(controlMessage.Documents, lone).get({ service: 'lm-pool' });
    expect(stale).toMatchObject({ vouched: false, document: { version: 1n } });

    cluster.heal();
    await until(() => cluster.isVouched(lone));
    const got = await cluster.clientOf(controlMessage.Documents, lone).get({ service: 'lm-pool' });
    expect(got).toMatchObject({ vouched: true, document: { version: 2n } });
  });

  it('replaces an instance by the control document, and then tolerates a second loss', async () => {
    // Guards against an outage, or the loss of a document, when another instance is lost after a replacement: the new instance
    // votes before it has the whole log, or never becomes a voter.
    await apply(nodeAt(0), { applyId: 'a-1' });
    const lost = nodeAt(2);
    await cluster.kill(lost);
    const fresh = await cluster.add('c4');
    const replicas = [nodeAt(0), nodeAt(1), fresh].map(({ name, address }) => `${name}=${address}`);
    const change = { service: 'control', text: controlText(replicas), key: 'root-key', applyId: 'r-1' };
    expect((await applyAnywhere(change)).case).toBe('accepted');
    await until(() => cluster.isVouched(fresh));
    const documents = cluster.clientOf(controlMessage.Documents, fresh);
    await until(async () => {
      const status = await documents.status({});
      const names = status.replicas.map(({ name, state }) => `${name} ${state}`).sort();
      return /^c1 \w+er,c2 \w+er,c4 \w+er$/.test(names.join(',')) && !names.includes('c4 learner');
    });

    await cluster.kill(nodeAt(0));
    const two = { applyId: 'a-2', baseVersion: 1n, text: modelText({ mark: 'two' }) };
    expect((await applyAnywhere(two)).case).toBe('accepted');
    expect(await documents.get({ service: 'lm-pool' })).toMatchObject({ document: { version: 2n } });
  });

  it('ends the streams of watchers when it drains', async () => {
    // Guards against a planned stop that never ends, and watchers that notice it only by a timeout: a watch stream ends by
    // itself only when the watcher leaves.
    const node = nodeAt(0);
    const directory = cluster.clientOf(controlMessage.Directory, node);
    let events = 0;
    for await (const event of directory.watch({ name: 'w1' })) {
      expect(event.revision).toBe(0n);
      events += 1;
      if (events === 1) await node.control.drain();
    }
    expect(node.control.readiness()).toMatchObject({ ready: false, reason: 'draining' });
    await node.server.drain();
  });
});
