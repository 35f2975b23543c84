import type { MessageInitShape } from '@bufbuild/protobuf';
import { createClient } from '@connectrpc/connect';
import { StallWatch, silentLog, silentMetrics, systemClock } from '@jasmineroute/core';
import { parseDocument } from '@jasmineroute/document';
import { Peers, controlMessage, faultOf, listen } from '@jasmineroute/protocol';
import type { RpcServer } from '@jasmineroute/protocol';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { LocalLog, modelText } from '../fixture/index.js';
import { controlSettings } from '../setting/index.js';
import { Control } from './control.js';
import { createState } from './createState.js';
import type { StateParts } from './createState.js';

describe('control over its RPC address', () => {
  let server: RpcServer;
  let peers: Peers;
  let control: Control;
  let log: LocalLog;
  let state: StateParts;

  beforeEach(async () => {
    peers = new Peers();
    state = createState();
    log = new LocalLog(state.machine);
    const context = {
      name: 'c1',
      incarnation: 1n,
      dataCentre: 'here',
      controls: [],
      clock: systemClock,
      stalls: new StallWatch(systemClock),
      log: silentLog,
      metrics: silentMetrics,
      peers,
    };
    const settings = controlSettings.parse({ replicas: 'c1=127.0.0.1:1' });
    control = new Control(context, settings, state, log);
    server = await listen('127.0.0.1', 0, (router) => {
      control.routes(router);
    });
    await control.start(server.address);
  });

  afterEach(async () => {
    await control.close();
    peers.close();
    await server.close();
  });

  it('shows an accepted document to readers and watchers', async () => {
    const transport = peers.transport(server.address);
    const documents = createClient(controlMessage.Documents, transport);
    const text = modelText();
    const answer = await documents.apply({ service: 'lm-pool', text, applyId: 'a-1', key: 'alice-key' });
    expect(answer.outcome).toMatchObject({ case: 'accepted', value: { version: 1n, revision: 1n } });

    const got = await documents.get({ service: 'lm-pool' });
    expect(got).toMatchObject({ vouched: true, document: { text, version: 1n } });

    const directory = createClient(controlMessage.Directory, transport);
    for await (const event of directory.watch({ name: 'w1' })) {
      expect(event).toMatchObject({ revision: 1n, vouched: true, documents: [{ version: 1n }] });
      // The stream may format the same document differently from the operator.
      const shown = parseDocument(event.documents[0]?.text ?? '');
      expect(shown._unsafeUnwrap()).toEqual(parseDocument(text)._unsafeUnwrap());
      break;
    }
  });

  const documents = () => createClient(controlMessage.Documents, peers.transport(server.address));

  const apply = async (change: MessageInitShape<typeof controlMessage.ApplyRequestSchema>) => {
    const request = { service: 'lm-pool', text: modelText(), applyId: 'a-1', key: 'alice-key', ...change };
    return (await documents().apply(request)).outcome;
  };

  it('reports all errors of a document at once, with path and line', async () => {
    const text = modelText().replace('version: v1', 'version: 7').replace('team: lm-pool', 'team: NO');
    const outcome = await apply({ text });
    expect(outcome).toMatchObject({
      case: 'rejected',
      value: {
        kind: 'invalid-document',
        problems: [
          { path: 'owner.team', line: 5 },
          { path: 'models.0.version', line: 9 },
        ],
      },
    });
    expect(log.entries).toHaveLength(0);
  });

  it('refuses a document that names another service than the request', async () => {
    expect(await apply({ service: 'other' })).toMatchObject({
      case: 'rejected',
      value: { problems: [{ path: 'service', line: 1 }] },
    });
  });

  it('refuses a model that another service offers', async () => {
    await apply({});
    const text = modelText({ service: 'pool-b', models: ['lm-pool-model'], keys: ['bob-key'] });
    const outcome = await apply({ service: 'pool-b', text, applyId: 'b-1', key: 'bob-key' });
    expect(outcome).toMatchObject({
      case: 'rejected',
      value: { kind: 'invalid-document', problems: [{ path: 'models.0.name', line: 9 }] },
    });
  });

  it('accepts one of several services that add the same model at once', async () => {
    // Guards against two services with the same model: teams apply at the same time, and each document passes its check before
    // the other is accepted.
    const outcomes = await Promise.all(
      ['pool-a', 'pool-b', 'pool-c'].map((service) => {
        const key = `${service}-key`;
        const text = modelText({ service, models: ['shared-model'], keys: [key] });
        return apply({ service, text, key, applyId: service });
      }),
    );
    expect(outcomes.map((outcome) => outcome.case).sort()).toEqual(['accepted', 'rejected', 'rejected']);
  });

  it('answers a resend after a lost answer with the first answer', async () => {
    // Guards against a conflict of an operator with their own change: it is accepted, the answer is lost between log and
    // service, and the resend of the tool counts as a new change.
    log.lostAnswers = 1;
    await expect(apply({})).rejects.toThrow('no answer');
    expect(await apply({})).toMatchObject({ case: 'accepted', value: { version: 1n } });
    expect(state.documents.revision()).toBe(1n);
  });

  it('answers a resend that would conflict by now with the first answer', async () => {
    // Guards against an accepted change that is reported as refused: the answer is lost, the model moves to another
    // service, and the resend is checked against documents that were accepted later.
    const first = await apply({});
    const moved = modelText({ models: ['renamed'] });
    await apply({ text: moved, applyId: 'a-2', baseVersion: 1n });
    const text = modelText({ service: 'pool-b', models: ['lm-pool-model'], keys: ['bob-key'] });
    expect((await apply({ service: 'pool-b', text, applyId: 'b-1', key: 'bob-key' })).case).toBe('accepted');
    expect(await apply({})).toEqual(first);
  });

  it('never writes a key into the log', async () => {
    await apply({});
    const stored = Buffer.concat([...log.entries, state.machine.snapshot()]);
    expect(stored.includes('alice-key')).toBe(false);
  });

  it('reports a change without a quorum as not run, and reads as possibly stale', async () => {
    await apply({});
    log.isolate(true);
    const problem = await apply({ applyId: 'a-2', baseVersion: 1n }).catch((error: unknown) =>
      faultOf(error),
    );
    expect(problem).toMatchObject({ kind: 'no-quorum', ran: 'not-run' });
    expect(await documents().get({ service: 'lm-pool' })).toMatchObject({
      vouched: false,
      document: { version: 1n },
    });
    expect(await documents().status({})).toMatchObject({ vouched: false, replicas: [{ state: 'isolated' }] });
    expect(control.readiness().ready).toBe(false);
  });

  it('reports documents with versions, replicas and instances', async () => {
    await apply({});
    const status = await documents().status({});
    expect(status).toMatchObject({
      revision: 1n,
      vouched: true,
      replicas: [{ name: 'c1', state: 'leader' }],
      documents: [{ service: 'lm-pool', version: 1n, text: '' }],
      instances: [{ name: 'c1', role: controlMessage.Role.CONTROL, health: controlMessage.Health.ALIVE }],
    });
  });

  it('reads older versions and the history', async () => {
    await apply({});
    await apply({ text: modelText({ mark: 'two' }), applyId: 'a-2', baseVersion: 1n, operator: 'alice' });
    const older = await documents().get({ service: 'lm-pool', version: 1n });
    expect(older.document?.text).toBe(modelText());
    const history = await documents().history({ service: 'lm-pool' });
    expect(history.versions).toMatchObject([
      { version: 2n, text: '', operator: 'alice' },
      { version: 1n, text: '' },
    ]);
  });

  it('stops serving at a log entry of a newer release', async () => {
    // Guards against an instance of an older release that serves outdated documents: in a rolling upgrade a newer instance
    // writes a command that this one doesn't know, and skipping it makes the states differ.
    const directory = createClient(controlMessage.Directory, peers.transport(server.address));
    let events = 0;
    for await (const event of directory.watch({ name: 'w1' })) {
      expect(event.revision).toBe(0n);
      events += 1;
      if (events === 1) state.machine.apply(1n, Uint8Array.of(0xff));
    }
    expect(control.readiness()).toMatchObject({ ready: false, reason: 'older than the log: upgrade' });
  });

  it('refuses claims and turns that lack a field', async () => {
    const transport = peers.transport(server.address);
    const claim = createClient(controlMessage.Claims, transport).claim({ key: 'k', attemptId: 'a' });
    const take = createClient(controlMessage.Turns, transport).take({ name: 'n', holder: 'h', limit: 1 });
    for (const call of [claim, take]) {
      expect(await call.catch((error: unknown) => faultOf(error))).toMatchObject({ kind: 'invalid-request' });
    }
  });
});
