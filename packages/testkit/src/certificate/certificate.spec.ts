import { mkdtemp, copyFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { Code, ConnectError, createClient } from '@connectrpc/connect';
import { Peers, TlsStore, checkTls, controlMessage, listen } from '@jasmineroute/protocol';
import type { RpcServer } from '@jasmineroute/protocol';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { Authority } from './certificate.js';
import type { Identity } from './certificate.js';

const RELOAD_BOUND_MS = 10_000;

describe('mutual TLS between processes', () => {
  let folder: string;
  let authority: Authority;
  let server: RpcServer;
  let serverFiles: Identity;
  const closers: (() => void)[] = [];

  const open = async (files: Identity): Promise<TlsStore> => {
    const store = await TlsStore.open(files, checkTls);
    closers.push(() => {
      store.close();
    });
    return store;
  };

  const ask = async (peers: Peers): Promise<string> => {
    closers.push(() => {
      peers.close();
    });
    const client = createClient(controlMessage.Turns, peers.transport(server.address));
    try {
      await client.take({ name: 't', holder: 'h', limit: 1, ttlMs: 1_000 }, { timeoutMs: 2_000 });
      return 'answered';
    } catch (error) {
      return ConnectError.from(error).code === Code.Unimplemented ? 'answered' : 'refused';
    }
  };

  beforeEach(async () => {
    folder = await mkdtemp(join(tmpdir(), 'jasmineroute-tls-'));
    authority = await Authority.create('own');
    serverFiles = await authority.issue('control-1', folder);
    server = await listen(
      '127.0.0.1',
      0,
      (router) => router.service(controlMessage.Turns, {}),
      await open(serverFiles),
    );
  });

  afterEach(async () => {
    for (const close of closers.splice(0)) close();
    await server.close();
  });

  it('answers a process that the authority signed', async () => {
    expect(await ask(new Peers(await open(await authority.issue('entry-1', folder))))).toBe('answered');
  });

  it('refuses a stranger', async () => {
    // Symptom: a process that nobody set up announces a target and gets callers' prompts.
    // Sequence: it connects with no certificate, or with one of its own authority, and calls a service.
    // Cause: a listener that does not ask for a certificate, or trusts any.
    const strangers = await Authority.create('stranger');
    expect(await ask(new Peers())).toBe('refused');
    expect(await ask(new Peers(await open(await strangers.issue('stranger-1', folder))))).toBe('refused');
  });

  it('takes a renewed certificate without a restart', async () => {
    // Symptom: all processes refuse each other on the day when the certificates run out.
    // Sequence: an operator replaces the files; the process goes on with what it read at its start.
    // Cause: key material read once.
    const renewed = await Authority.create('renewed');
    const next = await renewed.issue('control-1', join(folder, 'next'));
    const client = new Peers(await open(await renewed.issue('entry-1', folder)));
    expect(await ask(client)).toBe('refused');
    await copyFile(next.authority, serverFiles.authority);
    await copyFile(next.key, serverFiles.key);
    await copyFile(next.certificate, serverFiles.certificate);
    const deadline = Date.now() + RELOAD_BOUND_MS;
    let answer = 'refused';
    while (answer === 'refused' && Date.now() < deadline) {
      await new Promise((resolve) => setTimeout(resolve, 100));
      client.drop(server.address);
      answer = await ask(client);
    }
    expect(answer).toBe('answered');
  });
});
