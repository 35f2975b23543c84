/** Tracks all instances from heartbeats received here and reports of other control instances. */
import { create } from '@bufbuild/protobuf';
import { Code, ConnectError } from '@connectrpc/connect';
import type { ConnectRouter } from '@connectrpc/connect';
import type { FailureDetector, Transition } from '@jasmineroute/coordination';
import { fault, runCriticalTask } from '@jasmineroute/core';
import type { Clock, Log } from '@jasmineroute/core';
import { controlMessage, errorOf } from '@jasmineroute/protocol';
import type { Peers } from '@jasmineroute/protocol';
import { directoryEvents } from '../events.js';
import type { InstanceMessage } from '../message/index.js';
import { ChangeSignal } from '../server/changeSignal.js';
import type { HeartbeatReceiver, InstanceSource } from '../server/source.js';
import type { Instance } from '../view/index.js';
import { applyExchange } from './exchange.js';
import { runExchange } from './exchangeTask.js';
import type { ControlPeer } from './exchangeTask.js';
import { InstanceStore } from './instanceStore.js';
import { tcpProbe } from './probe.js';
import type { Probe } from './probe.js';

/** Maximum number of listed instances: three times the largest planned size. Bounds a flood of invalid names. */
const MAX_INSTANCES = 16_384;
/** Maximum number of concurrent probes of suspects. */
const MAX_PROBES = 64;

/** Dependencies and settings of the membership. */
export interface MembershipOptions {
  /** Name of this control instance. */
  readonly name: string;
  readonly incarnation: bigint;
  readonly detector: FailureDetector;
  /** `settings.tickMs` of the detector. */
  readonly tickMs: number;
  readonly peers: Peers;
  readonly clock: Clock;
  readonly log: Log;
  /** Whether this process is in touch with a quorum. */
  readonly vouched: () => boolean;
  /** Current control instances, read at each tick. May include this one. */
  readonly controls: () => readonly ControlPeer[];
  /** Probes a suspect. Default: a TCP connection. */
  readonly probe?: Probe;
}

/** The running exchange task of one peer. */
interface PeerTask {
  readonly address: string;
  readonly stop: AbortController;
  readonly done: Promise<void>;
}

/** Receives heartbeats, detects failures and exchanges reports with the other control instances. */
export class Membership implements InstanceSource, HeartbeatReceiver {
  private readonly store: InstanceStore;
  private readonly changed = new ChangeSignal();
  private readonly listeners = new Set<(names: readonly string[]) => void>();
  private readonly stopping = new AbortController();
  private readonly tasks = new Map<string, PeerTask>();
  private readonly probing = new Set<string>();
  private readonly probe: Probe;
  /** By sender: its incarnation and the sequence number up to which all its changes were received. */
  private readonly receivedUpTo = new Map<string, { incarnation: bigint; upTo: bigint }>();
  private ticking: Promise<void> = Promise.resolve();

  constructor(private readonly options: MembershipOptions) {
    this.store = new InstanceStore(options.detector);
    this.probe = options.probe ?? tcpProbe(options.clock);
  }

  /** Registers the gossip service on the process's RPC server. */
  routes(router: ConnectRouter): void {
    router.service(controlMessage.Gossip, { exchange: (request) => this.exchange(request) });
  }

  /** Starts failure detection and exchanges. `self` returns this control instance's own state. */
  start(self: () => InstanceMessage): void {
    this.ticking = this.run(self);
    runCriticalTask('membership', this.ticking);
  }

  /** Stops all tasks and waits for them. */
  async stop(): Promise<void> {
    this.stopping.abort(new Error('stopped'));
    for (const task of this.tasks.values()) task.stop.abort(new Error('stopped'));
    await Promise.all([this.ticking, ...[...this.tasks.values()].map(({ done }) => done)]);
  }

  current(): ReadonlyMap<string, Instance> {
    return this.store.current();
  }

  /** Instances with the revision that each last reported, for status reports. */
  reported(): Instance[] {
    return this.store.reported();
  }

  /** Names of the instances that send their heartbeats to this control instance. */
  directMembers(): Set<string> {
    const here = [...this.options.detector.all()].filter(
      ({ source }) => source.observer === this.options.name,
    );
    return new Set(here.map(({ name }) => name));
  }

  onChange(listener: (names: readonly string[]) => void): () => void {
    this.listeners.add(listener);
    return () => {
      this.listeners.delete(listener);
    };
  }

  beat(request: controlMessage.BeatRequest): controlMessage.BeatResponse {
    const { instance } = request;
    if (instance === undefined) throw errorOf(fault('invalid-request', 'heartbeat without an instance'));
    const { detector, vouched } = this.options;
    const known = detector.find(instance.name);
    const answer = create(controlMessage.BeatResponseSchema, { vouched: vouched() });
    if (known !== undefined && known.incarnation > instance.incarnation)
      return { ...answer, superseded: true };
    if (known === undefined) this.checkCapacity();
    if (!request.full && !this.store.hasState(instance)) return { ...answer, resend: true };
    this.recordHeartbeat(instance, request.full);
    return answer;
  }

  private checkCapacity(): void {
    if (this.store.current().size < MAX_INSTANCES) return;
    throw new ConnectError(`more than ${MAX_INSTANCES} instances`, Code.ResourceExhausted);
  }

  private recordHeartbeat(instance: InstanceMessage, full: boolean): void {
    const { name, incarnation, sequence, health, revision } = instance;
    const leaving = health === controlMessage.Health.LEAVING;
    this.options.detector.beat({ name, incarnation, sequence, leaving });
    const stateChanged = full && this.store.update(instance);
    this.store.setRevision(name, revision);
    this.publish(this.options.detector.takeTransitions(), stateChanged ? [name] : []);
  }

  private exchange(request: controlMessage.ExchangeRequest): controlMessage.ExchangeResponse {
    const { from, incarnation, since, upTo } = request;
    const known = this.receivedUpTo.get(from);
    const gap = since > 0n && (known?.incarnation !== incarnation || known.upTo < since);
    const names = applyExchange(request, this.options.detector, this.store);
    if (!gap) this.receivedUpTo.set(from, { incarnation, upTo });
    this.publish(this.options.detector.takeTransitions(), names);
    return create(controlMessage.ExchangeResponseSchema, { resend: gap });
  }

  private async run(self: () => InstanceMessage): Promise<void> {
    const { clock, detector, tickMs } = this.options;
    const { signal } = this.stopping;
    while (!signal.aborted) {
      this.recordHeartbeat(self(), true);
      this.publish(detector.tick(), []);
      this.reconcilePeerTasks();
      this.probeSuspects();
      await clock.sleep(tickMs, signal).catch(() => undefined);
    }
  }

  /** Updates the list and notifies listeners and exchange tasks. */
  private publish(transitions: readonly Transition[], names: readonly string[]): void {
    for (const transition of transitions) {
      if (transition.from !== undefined)
        this.options.log.event(directoryEvents.stateChanged, { ...transition });
    }
    const named = new Set([...names, ...transitions.map(({ name }) => name)]);
    const changed = [...named].filter((name) => this.store.refresh(name));
    if (changed.length === 0) return;
    for (const listener of this.listeners) listener(changed);
    this.changed.raise();
  }

  /** Starts and stops tasks so that each other control instance has one. */
  private reconcilePeerTasks(): void {
    const wanted = new Map(this.options.controls().map(({ name, address }) => [name, address]));
    wanted.delete(this.options.name);
    for (const [name, task] of this.tasks) {
      if (wanted.get(name) === task.address) continue;
      task.stop.abort(new Error('replaced'));
      this.tasks.delete(name);
    }
    for (const [name, address] of wanted) {
      if (!this.tasks.has(name)) this.tasks.set(name, this.startPeerTask({ name, address }));
    }
  }

  private startPeerTask(peer: ControlPeer): PeerTask {
    const { name, incarnation, detector, peers, clock, log } = this.options;
    const stop = new AbortController();
    const { store, changed } = this;
    const context = { self: { name, incarnation }, detector, store, changed, peers, clock, log };
    return { address: peer.address, stop, done: runExchange(context, peer, stop.signal) };
  }

  private probeSuspects(): void {
    for (const { name, incarnation, liveness, source } of this.options.detector.all()) {
      if (this.probing.size >= MAX_PROBES) return;
      if (liveness !== 'suspect' || source.observer !== this.options.name) continue;
      const address = this.store.current().get(name)?.address;
      if (address === undefined || this.probing.has(name)) continue;
      void this.probeInstance(name, incarnation, address);
    }
  }

  private async probeInstance(name: string, incarnation: bigint, address: string): Promise<void> {
    this.probing.add(name);
    try {
      this.options.detector.recordProbeResult(name, incarnation, await this.probe(address));
    } finally {
      this.probing.delete(name);
    }
  }
}
