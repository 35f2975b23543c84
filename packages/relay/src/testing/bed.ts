/** A relaying entry in the test's process, with scripted targets and a control instance that the test speaks for. */
import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import { create } from '@bufbuild/protobuf';
import type { Configuration, Route } from '@jasmineroute/configuration';
import { StallWatch, silentLog, silentMetrics, systemClock } from '@jasmineroute/core';
import { Peers, controlMessage, listen, partKey } from '@jasmineroute/protocol';
import type { RpcServer, StoredPart } from '@jasmineroute/protocol';
import { reportTaker } from '@jasmineroute/testkit';
import { relayEvents } from '../events.js';
import { Relay } from '../relay.js';
import { relaySettings } from '../setting/index.js';
import { testDialect } from './dialect.js';

const { AnnouncedTargetSchema, Announcement, FollowEventSchema } = controlMessage;

/** Answers one request of a target. */
export type Script = (request: IncomingMessage, response: ServerResponse, body: string) => void;

/** A target that a test scripts. */
export interface StandIn {
  readonly id: string;
  readonly address: string;
  readonly requests: IncomingMessage[];
  script: Script;
  readonly sockets: Set<Socket>;
  close(): Promise<void>;
}

/** A route to the service "s"; `change` replaces fields. */
export const routeTo = (change: Partial<Route> = {}): Route => ({
  name: 'r',
  host: 'a.example',
  pathPrefix: '/',
  kind: 'once',
  timeoutMs: 5_000,
  objectiveMs: 100,
  priority: 1,
  services: [{ service: 's', weight: 1 }],
  maxAttempts: 1,
  open: true,
  hasPrompt: false,
  resumable: false,
  ...change,
});

/** A whole answer that belongs to the request. */
export const answered =
  (body = 'done', status = 200): Script =>
  (request, response) => {
    response.writeHead(status, { 't-id': request.headers['t-id'], 't-signed': 'yes' });
    response.end(body);
  };

async function standIn(id: string): Promise<StandIn> {
  const requests: IncomingMessage[] = [];
  const sockets = new Set<Socket>();
  const target: { script: Script } = { script: answered() };
  const server: Server = createServer((request, response) => {
    requests.push(request);
    let body = '';
    request.on('data', (part: Buffer) => (body += part.toString()));
    request.on('end', () => {
      target.script(request, response, body);
    });
  });
  server.on('connection', (socket) => sockets.add(socket));
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
  const close = async (): Promise<void> => {
    for (const socket of sockets) socket.destroy();
    await new Promise((resolve) => server.close(resolve));
  };
  return Object.assign(target, { id, address, requests, sockets, close });
}

/** A control instance that says what the test says. */
class Teller {
  private event = create(FollowEventSchema, { vouched: true, entries: 1 });
  private waiting = new Set<() => void>();
  server?: RpcServer;

  async start(): Promise<string> {
    this.server = await listen('127.0.0.1', 0, (router) => {
      router.service(controlMessage.Configurations, {
        follow: (_request, { signal }) => this.follow(signal),
        report: reportTaker(),
        enlist: () => ({}),
        observe: () => ({}),
      });
    });
    return this.server.address;
  }

  tell(change: Partial<controlMessage.FollowEvent>): void {
    this.event = Object.assign(create(FollowEventSchema, this.event), change);
    for (const wake of this.waiting) wake();
  }

  private async *follow(signal: AbortSignal): AsyncGenerator<controlMessage.FollowEvent> {
    while (!signal.aborted) {
      yield this.event;
      await new Promise<void>((resolve) => {
        const wake = (): void => {
          this.waiting.delete(wake);
          clearTimeout(timer);
          resolve();
        };
        const timer = setTimeout(wake, 300);
        signal.addEventListener('abort', wake, { once: true });
        this.waiting.add(wake);
      });
    }
  }
}

/** Fields of an announcement that a test changes. */
type AnnouncedChange = Partial<
  Pick<controlMessage.AnnouncedTarget, 'paused' | 'observation' | 'weights' | 'sequence'>
>;

/** Counts the connections that the entry takes. */
class CountingWatch extends StallWatch {
  connections = 0;

  override noteConnection(): void {
    this.connections += 1;
    super.noteConnection();
  }
}

/** Waits for a condition, within a bound. */
export async function until(condition: () => boolean, ms = 5_000): Promise<void> {
  const end = performance.now() + ms;
  while (!condition()) {
    if (performance.now() > end) throw new Error(`not within ${ms} ms: ${condition.toString()}`);
    await systemClock.sleep(5);
  }
}

/** Everything that a test of a relaying entry needs. */
export class Bed {
  readonly targets: StandIn[] = [];
  /** Numbers of the events that the entry has logged. */
  readonly logged: number[] = [];
  /** What it has logged of its readiness. */
  readonly reasons: unknown[] = [];
  /** Hears of each sending in the turn of the event loop in which it begins. */
  onSending: () => void = () => undefined;
  private readonly teller = new Teller();
  private readonly peers = new Peers();
  private readonly stalls = new CountingWatch(systemClock);
  private readonly relay: Relay;
  private number = 0;

  private constructor(control: string) {
    this.stalls.start();
    this.relay = new Relay(
      {
        name: 'e1',
        incarnation: 1n,
        dataCentre: 'here',
        controls: [control],
        clock: systemClock,
        stalls: this.stalls,
        log: {
          ...silentLog,
          event: ({ id }, { reason } = {}) => {
            this.logged.push(id);
            if (id === relayEvents.readiness.id) this.reasons.push(reason);
          },
        },
        metrics: silentMetrics,
        peers: this.peers,
      },
      relaySettings.parse({ httpPort: 0, drainDelayMs: 300 }),
      {
        ...testDialect,
        targetHeaders: (...sending) => {
          this.onSending();
          return testDialect.targetHeaders(...sending);
        },
      },
    );
  }

  /** Starts an entry before some targets, by one route and configuration. */
  static async start(routes: Route[], targets = 1, extra: Partial<Configuration> = {}): Promise<Bed> {
    const bed = await Bed.begin(targets);
    bed.announce();
    bed.configure(routes, extra);
    await until(() => bed.relay.readiness().ready);
    return bed;
  }

  /** The same, with nothing told of the targets yet. */
  static async startUntold(routes: Route[], targets = 1): Promise<Bed> {
    const bed = await Bed.begin(targets);
    bed.configure(routes);
    await until(() => bed.relay.readiness().ready);
    return bed;
  }

  private static async begin(targets: number): Promise<Bed> {
    const starting = new Teller();
    const bed = new Bed(await starting.start());
    Object.assign(bed, { teller: starting });
    for (let n = 1; n <= targets; n += 1) bed.targets.push(await standIn(`t${n}`));
    await bed.relay.start();
    return bed;
  }

  get url(): string {
    return `http://${this.relay.httpAddress()}`;
  }

  /** Callers' connections that the entry has taken, in all. */
  get connections(): number {
    return this.stalls.connections;
  }

  /** Whether the entry has not read yet all that came in a stall. */
  get isCatchingUp(): boolean {
    return this.stalls.current() !== undefined;
  }

  target(number: number): StandIn {
    const found = this.targets[number - 1];
    if (found === undefined) throw new Error(`no target ${number}`);
    return found;
  }

  /** Requests that reached the targets, in all. */
  arrivals(): number {
    return this.targets.reduce((sum, { requests }) => sum + requests.length, 0);
  }

  configure(routes: Route[], extra: Partial<Configuration> = {}): void {
    this.number += 1;
    const configuration = { number: this.number, routes, services: [{ name: 's' }], ...extra };
    const content = Buffer.from(JSON.stringify(configuration));
    this.teller.tell({ number: BigInt(this.number), content });
  }

  /** Announces all targets; `changes` by id. */
  announce(changes: Record<string, AnnouncedChange> = {}): void {
    const targets = this.targets.map(({ id, address }) =>
      create(AnnouncedTargetSchema, {
        id,
        service: 's',
        address,
        dataCentre: 'here',
        capacity: 4,
        announcement: Announcement.READY,
        sequence: 1n,
        weights: [{ model: 'm', version: 1n }],
        ...changes[id],
      }),
    );
    this.teller.tell({ targets });
  }

  /** Tells that a target has a part in its cache. */
  cache(target: StandIn, part: StoredPart): void {
    const added = [partKey(target.address, part)];
    this.teller.tell({ cached: create(controlMessage.KeptChangesSchema, { whole: true, added }) });
  }

  /** Tells which stores do not answer. */
  loseStores(lostStores: string[]): void {
    this.teller.tell({ lostStores });
  }

  drain(): Promise<void> {
    return this.relay.drain();
  }

  async stop(): Promise<void> {
    this.stalls.stop();
    await this.relay.close();
    this.peers.close();
    await Promise.all(this.targets.map((target) => target.close()));
    await this.teller.server?.close();
  }
}
