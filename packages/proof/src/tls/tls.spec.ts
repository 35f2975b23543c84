import { mkdtemp, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { Code, ConnectError, createClient } from '@connectrpc/connect';
import { Peers, TlsStore, checkTls, controlMessage } from '@jasmineroute/protocol';
import { Authority } from '@jasmineroute/testkit';
import type { Identity } from '@jasmineroute/testkit';
import { afterAll, beforeAll, describe, expect, it } from 'vitest';
import { Scene, ask } from '../fixture/index.js';

const CALL_TIMEOUT_MS = 5_000;

const variables = (identity: Identity): Record<string, string> => ({
  JASMINEROUTE_TLS_CERTIFICATE: identity.certificate,
  JASMINEROUTE_TLS_KEY: identity.key,
  JASMINEROUTE_TLS_AUTHORITY: identity.authority,
});

describe('a system with mutual TLS', () => {
  let folder: string;
  let own: Identity;
  let scene: Scene;
  const closers: (() => void)[] = [];

  beforeAll(async () => {
    folder = await mkdtemp(join(tmpdir(), 'jasmineroute-proof-tls-'));
    const authority = await Authority.create('own');
    own = await authority.issue('process', folder);
    // The command-line tool that the launcher runs takes them from here, the daemons from `env`.
    Object.assign(process.env, variables(own));
    scene = await Scene.start({ entries: 1, engines: 1, desks: 0, env: variables(own) });
  });

  afterAll(async () => {
    for (const name of Object.keys(variables(own))) Reflect.deleteProperty(process.env, name);
    for (const close of closers) close();
    await scene.stop();
    await rm(folder, { recursive: true, force: true });
  });

  const peersWith = async (identity?: Identity): Promise<Peers> => {
    const store = identity === undefined ? undefined : await TlsStore.open(identity, checkTls);
    const peers = new Peers(store);
    closers.push(() => {
      peers.close();
      store?.close();
    });
    return peers;
  };

  /** What each kind of access comes to: announcing, reading, voting's door. */
  const attempts = async (peers: Peers): Promise<string[]> => {
    const { address } = scene.member('control-1');
    const outcome = async (call: Promise<unknown>): Promise<string> => {
      try {
        await call;
        return 'answered';
      } catch (error) {
        const { code } = ConnectError.from(error);
        return code === Code.InvalidArgument ? 'answered' : 'refused';
      }
    };
    const directory = createClient(controlMessage.Directory, peers.transport(address));
    const documents = createClient(controlMessage.Documents, peers.transport(address));
    const limit = { timeoutMs: CALL_TIMEOUT_MS };
    return [
      await outcome(directory.beat({ instance: { name: '' } }, limit)),
      await outcome(documents.get({ service: 'lm' }, limit)),
    ];
  };

  it('serves its callers', async () => {
    const answer = await ask({ url: scene.url() });
    expect(answer.text).toBe(answer.wanted);
  });

  it('answers its own processes', async () => {
    expect(await attempts(await peersWith(own))).toEqual(['answered', 'answered']);
  });

  it('lets no stranger announce a target or read documents', async () => {
    // Symptom: callers' prompts go to a target that nobody set up, or keys' hashes are read by anybody.
    // Sequence: a process without a certificate, or with one of another authority, calls control.
    // Cause: a listener that takes whoever comes.
    const other = await Authority.create('other');
    const stranger = await other.issue('stranger', folder);
    expect(await attempts(await peersWith())).toEqual(['refused', 'refused']);
    expect(await attempts(await peersWith(stranger))).toEqual(['refused', 'refused']);
  });
});
