/** Runs a relaying entry in the test's process, with scripted targets and a control stub. */
import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import { create } from '@bufbuild/protobuf';
import type { Configuration, Route } from '@jasmineroute/configuration';
import { StallWatch, silentLog, silentMetrics, systemClock } from '@jasmineroute/core';
import { Peers, controlMessage, listen, partKey, streamKey } from '@jasmineroute/protocol';
import type { RpcServer, StoredPart } from '@jasmineroute/protocol';
import { reportTaker, threadTime } from '@jasmineroute/testkit';
import { relayEvents } from '../events.js';
import { Relay } from '../relay.js';
import { relaySettings } from '../setting/index.js';
import type { RelaySettings } from '../setting/index.js';
import { testDialect } from './dialect.js';
import { LeaseStub } from './leaseStub.js';

const { AnnouncedTargetSchema, Announcement, FollowEventSchema } = controlMessage;

/** Handles one request to a scripted target. */
export type Script = (request: IncomingMessage, response: ServerResponse, body: string) => void;

/** A target whose answers are scripted by the test. */
export interface ScriptedTarget {
  readonly id: string;
  readonly address: string;
  readonly requests: IncomingMessage[];
  script: Script;
  /** Runs in place of the script, before anything of the body is read; absent: the script runs when it is read. */
  atHead?: Script;
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

/** A complete answer with the id of the request. */
export const answered =
  (body = 'done', status = 200): Script =>
  (request, response) => {
    response.writeHead(status, { 't-id': request.headers['t-id'], 't-signed': 'yes' });
    response.end(body);
  };

async function startTarget(id: string): Promise<ScriptedTarget> {
  const requests: IncomingMessage[] = [];
  const sockets = new Set<Socket>();
  const target: { script: Script; atHead?: Script } = { script: answered() };
  const server: Server = createServer((request, response) => {
    requests.push(request);
    if (target.atHead !== undefined) {
      target.atHead(request, response, '');
      return;
    }
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

/** Interval of the heartbeats of a target, milliseconds; the default of control. */
const TARGET_HEARTBEAT_MS = 1_000;

/** A control instance that publishes the state set by the test. */
class ControlStub {
  private event = create(FollowEventSchema, { vouched: true, entries: 1 });
  private waiting = new Set<() => void>();
  /** Called after an event is sent. */
  onSent: () => void = () => undefined;
  server?: RpcServer;
  /** Origins of streams that it knows, those that were reported among them. */
  readonly origins: controlMessage.StreamOrigin[] = [];
  /** Evidence on crashes that was reported to it. */
  readonly evidence: controlMessage.CrashEvidence[] = [];
  /** Software versions that it lists, and whether the list is complete. */
  softwareVersions: string[] = [];
  knowsVersions = false;
  /** Other control instances that it names, and the number of the configuration that it says it holds. */
  otherControls: string[] = [];
  /** The newest starts of targets, with the monotonic times of their first heartbeats, and whether others follow. */
  readonly starts = new Map<string, { born: bigint; heardAt: number; isRepeated: boolean }>();
  /** Time that an answer on starts takes, milliseconds. */
  startsLateMs = 0;
  listedNumber = 0n;
  /** How often it was asked for them. */
  versionLists = 0;

  async start(): Promise<string> {
    this.server = await listen('127.0.0.1', 0, (router) => {
      router.service(controlMessage.Configurations, {
        follow: (_request, { signal }) => this.follow(signal),
        report: reportTaker((report) => {
          if (report.case === 'origins') this.origins.push(...report.value.origins);
          if (report.case === 'evidence') this.evidence.push(...report.value.evidence);
        }),
        findOrigins: ({ streams }) => ({
          origins: this.origins.filter(({ stream }) =>
            streams.some((one) => Buffer.compare(one, stream) === 0),
          ),
        }),
        findStarts: async ({ names }) => {
          if (this.startsLateMs > 0) await systemClock.sleep(this.startsLateMs);
          return {
            starts: names.flatMap((name) => {
              const start = this.starts.get(name);
              if (start === undefined) return [];
              const { born, heardAt, isRepeated } = start;
              const sinceFirstMs = performance.now() - heardAt;
              const sinceLastMs = isRepeated ? sinceFirstMs % TARGET_HEARTBEAT_MS : sinceFirstMs;
              return { name, born, heardMs: Math.ceil(sinceLastMs) };
            }),
          };
        },
        listSoftwareVersions: () => {
          this.versionLists += 1;
          const { softwareVersions: versions, knowsVersions: complete, listedNumber: number } = this;
          return {
            versions,
            complete,
            controls: [this.server?.address ?? '', ...this.otherControls],
            number,
          };
        },
        enlist: () => ({}),
        observe: () => ({}),
      });
      const leases = new LeaseStub();
      router.service(controlMessage.Turns, {
        take: (request) => leases.take(request),
        release: (request) => leases.release(request),
      });
    });
    return this.server.address;
  }

  publish(change: Partial<controlMessage.FollowEvent>): void {
    this.event = Object.assign(create(FollowEventSchema, this.event), change);
    for (const wake of this.waiting) wake();
  }

  private async *follow(signal: AbortSignal): AsyncGenerator<controlMessage.FollowEvent> {
    while (!signal.aborted) {
      yield this.event;
      // The follower has taken the event when it asks for the next one.
      this.onSent();
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

/** Fields of a target's announcement that a test can change. */
type AnnouncementChange = Partial<
  Pick<
    controlMessage.AnnouncedTarget,
    'id' | 'name' | 'born' | 'announcement' | 'paused' | 'observation' | 'weights' | 'sequence'
  >
>;

/** Counts the connections that the entry accepts. */
class CountingStallWatch extends StallWatch {
  connections = 0;
  /** Times by the clock of `callFromThread`. */
  readonly acceptedAt: number[] = [];

  override recordConnection(): void {
    this.connections += 1;
    this.acceptedAt.push(threadTime());
    super.recordConnection();
  }
}

/** Waits for a condition, with a timeout. */
export async function until(condition: () => boolean, ms = 5_000): Promise<void> {
  const end = performance.now() + ms;
  while (!condition()) {
    if (performance.now() > end) throw new Error(`not within ${ms} ms: ${condition.toString()}`);
    await systemClock.sleep(5);
  }
}

/** Test environment of a relaying entry. */
export class RelayBed {
  readonly targets: ScriptedTarget[] = [];
  /** Ids of the events that the entry has logged. */
  readonly logged: number[] = [];
  /** Fields of the log lines for requests sent to targets. */
  readonly attempts: Readonly<Record<string, unknown>>[] = [];
  /** Whether the entry has received the crashes that it was told of. */
  evidenceTold = false;
  /** Readiness reasons that the entry has logged. */
  readonly readinessReasons: unknown[] = [];
  /** Called for each request sent to a target, in the event loop turn in which it is sent. */
  onSend: (requestId: string) => void = () => undefined;
  private readonly controlStub = new ControlStub();
  private readonly peers = new Peers();
  private readonly stalls = new CountingStallWatch(systemClock);
  private readonly relay: Relay;
  private number = 0;
  /** Software versions of targets by id, where they are others than v1. */
  private softwareVersions: Readonly<Record<string, string>> = {};

  private constructor(control: string, settings: Partial<RelaySettings>) {
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
          event: ({ id }, fields = {}) => {
            this.logged.push(id);
            if (id === relayEvents.attempted.id) this.attempts.push(fields);
            if (id === relayEvents.readiness.id) this.readinessReasons.push(fields.reason);
          },
        },
        metrics: silentMetrics,
        peers: this.peers,
      },
      { ...relaySettings.parse({ httpPort: 0, drainDelayMs: 300 }), ...settings },
      {
        ...testDialect,
        targetHeaders: (...sending) => {
          this.onSend(sending[0].id);
          return testDialect.targetHeaders(...sending);
        },
      },
    );
  }

  /** A second control instance, which the entry has not heard of; the caller closes it. */
  static async unheardControl(versions: readonly string[]): Promise<RpcServer> {
    const stub = new ControlStub();
    await stub.start();
    Object.assign(stub, { softwareVersions: versions, knowsVersions: true });
    if (stub.server === undefined) throw new Error('the control instance does not listen');
    return stub.server;
  }

  /** Starts an entry with some targets and a configuration, and waits until it is ready. */
  static async start(
    routes: Route[],
    targets = 1,
    extra: Partial<Configuration> = {},
    softwareVersions: Readonly<Record<string, string>> = {},
    settings: Partial<RelaySettings> = {},
  ): Promise<RelayBed> {
    const bed = await RelayBed.create(targets, settings);
    bed.softwareVersions = softwareVersions;
    bed.announce();
    bed.configure(routes, extra);
    await until(() => bed.relay.readiness().ready);
    return bed;
  }

  /** Like `start`, but without announcing the targets. */
  static async startUnannounced(routes: Route[], targets = 1): Promise<RelayBed> {
    const bed = await RelayBed.create(targets);
    bed.configure(routes);
    await until(() => bed.relay.readiness().ready);
    return bed;
  }

  private static async create(targets: number, settings: Partial<RelaySettings> = {}): Promise<RelayBed> {
    const controlStub = new ControlStub();
    const bed = new RelayBed(await controlStub.start(), settings);
    Object.assign(bed, { controlStub });
    for (let n = 1; n <= targets; n += 1) bed.targets.push(await startTarget(`t${n}`));
    await bed.relay.start();
    return bed;
  }

  get url(): string {
    return `http://${this.relay.httpAddress()}`;
  }

  /** Number of the configuration that the entry obeys. */
  get configured(): number {
    return this.relay.configurationNumber();
  }

  /** Whether the entry knows a start of a target. */
  knowsTarget(id: string): boolean {
    return this.relay.knowsTarget(id);
  }

  /** Requests in progress. */
  get open(): number {
    return this.relay.openRequests();
  }

  /** Total number of caller connections that the entry has accepted. */
  get connections(): number {
    return this.stalls.connections;
  }

  /** When the entry accepted its callers' connections, in order, by the clock of `callFromThread`. */
  get acceptedAt(): readonly number[] {
    return this.stalls.acceptedAt;
  }

  /** Lets requests be handled when they are read, however many there are. */
  handleAtOnce(): void {
    const turns = {
      run: (begin: () => void) => {
        begin();
      },
      next: () => Promise.resolve(),
    };
    Object.assign(this.stalls, { turns });
  }

  /** Whether the entry is still reading input that arrived during an event loop stall. */
  get isCatchingUp(): boolean {
    return this.stalls.current() !== undefined;
  }

  target(number: number): ScriptedTarget {
    const found = this.targets[number - 1];
    if (found === undefined) throw new Error(`no target ${number}`);
    return found;
  }

  /** Total number of requests that reached the targets. */
  arrivalCount(): number {
    return this.targets.reduce((sum, { requests }) => sum + requests.length, 0);
  }

  configure(routes: Route[], extra: Partial<Configuration> = {}, sharedSince = 0): void {
    this.number += 1;
    const configuration = { number: this.number, routes, services: [{ name: 's' }], ...extra };
    const content = Buffer.from(JSON.stringify(configuration));
    this.controlStub.publish({
      number: BigInt(this.number),
      content,
      sharedSince: BigInt(sharedSince),
    });
  }

  /** Announces all targets; `changes` overrides fields by target id. */
  announce(changes: Record<string, AnnouncementChange> = {}): void {
    const targets = this.targets.map(({ id, address }) =>
      create(AnnouncedTargetSchema, {
        id,
        service: 's',
        address,
        dataCentre: 'here',
        softwareVersion: this.softwareVersions[id] ?? 'v1',
        capacity: 4,
        announcement: Announcement.READY,
        sequence: 1n,
        weights: [{ model: 'm', version: 1n }],
        ...changes[id],
      }),
    );
    this.controlStub.publish({ targets });
  }

  /** Software versions of the streams that control knows, by the requests that began them. */
  knownVersion(requestId: string): string | undefined {
    const key = Buffer.from(streamKey('', requestId));
    return this.controlStub.origins.find(({ stream }) => key.equals(stream))?.softwareVersion;
  }

  /** How often control was asked for software versions. */
  get versionLists(): number {
    return this.controlStub.versionLists;
  }

  /** Lets control list software versions of all services. */
  listVersions(versions: readonly string[], isComplete = true): void {
    this.controlStub.softwareVersions = [...versions];
    this.controlStub.knowsVersions = isComplete;
  }

  /** Lets control name another control instance, which the entry has not heard of. */
  nameControl(address: string): void {
    this.controlStub.otherControls.push(address);
  }

  /** Lets control hold a configuration that is newer than the one that it has told the entry. */
  holdNewerConfiguration(): void {
    this.controlStub.listedNumber = BigInt(this.number + 1);
  }

  /** Lets control hear of a start of a target, now and never again. */
  hearStart(name: string, born: bigint): void {
    this.controlStub.starts.set(name, { born, heardAt: performance.now(), isRepeated: false });
  }

  /** Lets control hear of a start of a target, now and at each heartbeat from then on. */
  keepHearingStart(name: string, born: bigint): void {
    this.controlStub.starts.set(name, { born, heardAt: performance.now(), isRepeated: true });
  }

  /** Lets control take a time for each answer on starts, milliseconds. */
  delayStarts(ms: number): void {
    this.controlStub.startsLateMs = ms;
  }

  /** Lets control know a stream that began at another entry. */
  knowStream(requestId: string, softwareVersion: string, service = 's'): void {
    const stream = streamKey('', requestId);
    const origin = { stream, service, softwareVersion, lifetimeMs: 5_000 };
    this.controlStub.origins.push(create(controlMessage.StreamOriginSchema, origin));
  }

  /** Tells the entry of crashes that other entries saw. */
  tellEvidence(evidence: controlMessage.CrashEvidence[]): void {
    this.evidenceTold = false;
    this.controlStub.publish({ evidence });
    this.controlStub.onSent = () => {
      this.evidenceTold = true;
    };
  }

  /** What the entry reported last of a request. */
  reportedEvidence(request: Uint8Array): Pick<controlMessage.CrashEvidence, 'crashed' | 'cleared'> {
    const reported = this.controlStub.evidence.filter((one) => Buffer.compare(one.request, request) === 0);
    return reported.at(-1) ?? { crashed: [], cleared: [] };
  }

  /** Reports that a target has a part in its cache. */
  reportCached(target: ScriptedTarget, part: StoredPart): void {
    const added = [partKey(target.address, part)];
    this.controlStub.publish({ cached: create(controlMessage.KeptChangesSchema, { whole: true, added }) });
  }

  /** Reports which stores are unreachable. */
  reportLostStores(lostStores: string[]): void {
    this.controlStub.publish({ lostStores });
  }

  /** Reports how many entries serve callers. */
  reportEntries(entries: number): void {
    this.controlStub.publish({ entries });
  }

  drain(): Promise<void> {
    return this.relay.drain();
  }

  async stop(): Promise<void> {
    this.stalls.stop();
    await this.relay.close();
    this.peers.close();
    await Promise.all(this.targets.map((target) => target.close()));
    await this.controlStub.server?.close();
  }
}
