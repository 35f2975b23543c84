/** A running entry with documents, instances and claims set by a test. */
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { create } from '@bufbuild/protobuf';
import { StallWatch, fault, silentLog, silentMetrics, systemClock } from '@jasmineroute/core';
import type { Fault, MetricKind, Metrics } from '@jasmineroute/core';
import { documentSchema, hashKey } from '@jasmineroute/document';
import type { Document } from '@jasmineroute/document';
import type { Instance, View } from '@jasmineroute/directory';
import { Peers, controlMessage } from '@jasmineroute/protocol';
import type { ClaimMessage, ClaimStore, SettleMessage } from '../claim/index.js';
import { createEntry } from '../entry.js';
import type { EntryDirectory, EntryProcess } from '../entry.js';
import { entrySettings } from '../setting/index.js';

export const KEY = 'key-harbour';

const owner = { team: 'owners', operators: { ana: hashKey('op') } };
const customers = [{ name: 'harbour', keys: [hashKey(KEY)] }];

/** Document of a model service with one model "m". */
export function modelDocument(overrides: object = {}): Document {
  const models = [{ name: 'm', version: '1', adapters: [{ name: 'lora', version: '2' }] }];
  return documentSchema.parse({
    kind: 'model',
    service: 'pool',
    owner,
    customers,
    models,
    policy: 'round-robin',
    ...overrides,
  });
}

/** Document of a plain service under /desk. */
export function plainDocument(overrides: object = {}): Document {
  return documentSchema.parse({
    kind: 'plain',
    service: 'desk',
    owner,
    customers,
    routes: [{ path: '/desk/**' }],
    ...overrides,
  });
}

/** Instance of a target with the given gate address. */
export function target(
  name: string,
  address: string,
  service = 'pool',
  overrides: Partial<Instance> = {},
): Instance {
  return {
    name,
    incarnation: 1n,
    role: 'agent',
    address,
    dataCentre: 'dc1',
    health: 'alive',
    revision: 1n,
    target: {
      service,
      kind: service === 'pool' ? 'model' : 'plain',
      engineIncarnation: 'e1',
      ready: true,
      models: service === 'pool' ? [{ model: 'm', version: '1', adapters: [] }] : [],
      capacity: 8,
      role: '',
    },
    ...overrides,
  };
}

/** A directory whose view is set by the test. */
export class FakeDirectory implements EntryDirectory {
  private current: View;
  left = false;

  constructor(documents: readonly Document[], instances: readonly Instance[]) {
    this.current = {
      documents: new Map(
        documents.map((document) => [
          document.service,
          { version: 1n, document, text: '', operator: 'ana', acceptedAt: new Date(0), revision: 1n },
        ]),
      ),
      instances: new Map(instances.map((instance) => [instance.name, instance])),
      revision: 1n,
      vouched: true,
    };
  }

  set(instances: readonly Instance[]): void {
    this.current = { ...this.current, instances: new Map(instances.map((one) => [one.name, one])) };
  }

  view(): View {
    return this.current;
  }

  vouchedByControl(): boolean {
    return true;
  }

  onChange(): () => void {
    return () => undefined;
  }

  start(): Promise<void> {
    return Promise.resolve();
  }

  leave(): Promise<void> {
    this.left = true;
    return Promise.resolve();
  }

  stop(): Promise<void> {
    return Promise.resolve();
  }
}

interface Claim {
  attemptId: string;
  agent: string;
  fingerprint: string;
  state: controlMessage.ClaimState;
  answer?: SettleMessage['answer'];
}

const { GRANTED, RUNNING, DONE, UNKNOWN, MISMATCH } = controlMessage.ClaimState;

/** An in-memory claim store with the same rules as the control instances. */
export class FakeClaims implements ClaimStore {
  readonly claims = new Map<string, Claim>();
  unreachable = false;

  claim(request: ClaimMessage): Promise<Result<controlMessage.ClaimResponse, Fault>> {
    if (this.unreachable) return Promise.resolve(err(fault('claims-unavailable', 'out of reach')));
    const fingerprint = Buffer.from(request.fingerprint).toString('hex');
    const claim = this.claims.get(request.key);
    if (claim === undefined) {
      const { attemptId, agent } = request;
      this.claims.set(request.key, { attemptId, agent, fingerprint, state: RUNNING });
      return Promise.resolve(ok(create(controlMessage.ClaimResponseSchema, { state: GRANTED })));
    }
    const { attemptId, agent, answer } = claim;
    const state = claim.fingerprint === fingerprint ? claim.state : MISMATCH;
    return Promise.resolve(
      ok(create(controlMessage.ClaimResponseSchema, { state, attemptId, agent, answer })),
    );
  }

  settle(request: SettleMessage): Promise<Result<unknown, Fault>> {
    if (this.unreachable) return Promise.resolve(err(fault('claims-unavailable', 'out of reach')));
    const claim = this.claims.get(request.key);
    if (claim?.attemptId !== request.attemptId) return Promise.resolve(ok(undefined));
    if (request.settlement === controlMessage.Settlement.RELEASED) this.claims.delete(request.key);
    else claim.state = request.settlement === controlMessage.Settlement.DONE ? DONE : UNKNOWN;
    claim.answer = request.answer;
    return Promise.resolve(ok(undefined));
  }
}

/** A running entry with its fakes. */
export interface TestEntry {
  readonly entry: EntryProcess;
  readonly url: string;
  readonly directory: FakeDirectory;
  readonly claims: FakeClaims;
  readonly peers: Peers;
  /** Current value of a counter of the entry. */
  counterValue(kind: MetricKind): number;
  close(): Promise<void>;
}

/** Starts an entry with documents and instances. @param settings values as given by flags. */
export async function startTestEntry(
  documents: readonly Document[],
  instances: readonly Instance[],
  settings: object = {},
  name = 'entry-1',
  claims = new FakeClaims(),
): Promise<TestEntry> {
  const directory = new FakeDirectory(documents, instances);
  const peers = new Peers();
  const stalls = new StallWatch(systemClock);
  stalls.start();
  const counters = new Map<MetricKind, number>();
  const metrics: Metrics = {
    ...silentMetrics,
    count: (kind, value = 1) => counters.set(kind, (counters.get(kind) ?? 0) + value),
  };
  const context = {
    name,
    incarnation: 7n,
    dataCentre: 'dc1',
    controls: [],
    clock: systemClock,
    stalls,
    log: silentLog,
    metrics,
    peers,
  };
  const parsed = entrySettings.parse({ httpPort: 0, drainDelayMs: 0, ...settings });
  const entry = (await createEntry(context, parsed, { directory, claims }))._unsafeUnwrap();
  await entry.start('127.0.0.1:1');
  return {
    entry,
    url: `http://${entry.httpAddress()}`,
    directory,
    claims,
    peers,
    counterValue: (kind) => counters.get(kind) ?? 0,
    close: async () => {
      await entry.close();
      stalls.stop();
      peers.close();
    },
  };
}

/** Sends a chat request. */
export function chat(
  url: string,
  body: object = {},
  headers: Record<string, string> = {},
  signal?: AbortSignal,
): Promise<Response> {
  return fetch(`${url}/v1/chat/completions`, {
    method: 'POST',
    headers: { 'content-type': 'application/json', authorization: `Bearer ${KEY}`, ...headers },
    body: JSON.stringify({ model: 'm', messages: [{ role: 'user', content: 'hi' }], stream: true, ...body }),
    signal,
  });
}

/** Resolves once a condition holds. @throws Error after 20 seconds. */
export async function waitUntil(condition: () => boolean): Promise<void> {
  const deadline = performance.now() + 20_000;
  while (!condition()) {
    if (performance.now() > deadline) throw new Error('the condition did not hold within 20 s');
    await new Promise((resolve) => setTimeout(resolve, 5));
  }
}
