import { create } from '@bufbuild/protobuf';
import { ManualClock, silentLog } from '@jasmineroute/core';
import { ClusterView } from '@jasmineroute/knowledge';
import { controlMessage } from '@jasmineroute/protocol';
import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { RelayedTargets } from './relayedTargets.js';
import { TargetRegistry } from './targetRegistry.js';

const { Announcement } = controlMessage;

const CONTROLS = 3;
const TARGETS = 4;
/** Control instances that the process follows. */
const FOLLOWED = [0, 1];

const controlName = (at: number): string => `10.0.0.${at}:1`;

type State = 'ready' | 'draining' | 'left';
const order: readonly State[] = ['ready', 'draining', 'left'];

/** Control instances that relay targets to each other, and a process that follows some of them; any stream can be cut. */
class SimulatedCluster {
  readonly clock = new ManualClock();
  readonly view = new ClusterView(this.clock, silentLog);
  private readonly registries = Array.from(
    { length: CONTROLS },
    () => new TargetRegistry(this.clock, silentLog, 1_000),
  );
  private readonly relays = Array.from({ length: CONTROLS }, () => new RelayedTargets(this.clock));
  /** Change number up to which `from` has sent to `to`; absent: its stream has just begun. */
  private readonly exchanged = new Map<string, number>();
  /** The same for the process, for direct and for relayed targets of an instance. */
  private readonly sent = new Map<number, { own: number; relayed: number }>();
  private readonly finalTargets = new Set<string>();
  private sequence = 0;
  readonly states: State[] = Array.from({ length: TARGETS }, () => 'ready');

  /** A target calls an instance with its state, which never goes back. */
  call(control: number, target: number, wanted: State): void {
    const now = this.states[target] ?? 'ready';
    const state = order.indexOf(wanted) > order.indexOf(now) ? wanted : now;
    this.states[target] = state;
    this.sequence += 1;
    const name = `t${target}`;
    const rest = { service: 's', address: `a:${target}`, dataCentre: 'x', capacity: 1, coldMs: 0 };
    const registry = this.registries[control];
    if (state === 'left') registry?.leave({ name });
    else
      registry?.beat({ ...rest, name, draining: state === 'draining', sequence: this.sequence, weights: [] });
  }

  /** One instance sends its changes to another one. */
  exchange(from: number, to: number): void {
    if (from === to) return;
    const stream = `${from} ${to}`;
    const position = this.exchanged.get(stream);
    const registry = this.registries[from];
    this.relays[to]?.apply(controlName(from), registry?.since(position ?? 0) ?? [], position === undefined);
    this.exchanged.set(stream, registry?.lastChangeNumber() ?? 0);
  }

  cut(from: number, to: number): void {
    this.exchanged.delete(`${from} ${to}`);
    this.relays[to]?.lost(controlName(from));
  }

  /** An instance sends its changes to the process. */
  send(control: number): void {
    const [registry, relay] = [this.registries[control], this.relays[control]];
    if (registry === undefined || relay === undefined) return;
    const position = this.sent.get(control) ?? { own: 0, relayed: 0 };
    const event = create(controlMessage.FollowEventSchema, {
      targets: registry.since(position.own),
      relayed: relay.since(position.relayed),
      heard: { controls: relay.connectedControls() },
    });
    this.view.apply(controlName(control), event, !this.sent.has(control));
    for (const { name, announcement } of [...event.targets, ...event.relayed.flatMap((one) => one.targets)])
      if (announcement === Announcement.DRAINING || announcement === Announcement.LEFT)
        this.finalTargets.add(name);
    this.sent.set(control, { own: registry.lastChangeNumber(), relayed: relay.lastChangeNumber() });
  }

  /** Targets that the process has received as draining or left. */
  drainingOrLeft(): ReadonlySet<string> {
    return this.finalTargets;
  }

  lose(control: number): void {
    this.sent.delete(control);
    this.view.lost(controlName(control));
  }

  /** Reconnects all streams and sends all changes. */
  settle(): void {
    for (let from = 0; from < CONTROLS; from += 1)
      for (let to = 0; to < CONTROLS; to += 1) this.exchange(from, to);
    for (const control of FOLLOWED) this.send(control);
  }

  ready(): string[] {
    return this.view.targets
      .ready('s')
      .map(({ name }) => name)
      .sort();
  }

  /** Ready targets as seen by a new process that follows every instance itself. */
  readyByAll(): string[] {
    const view = new ClusterView(this.clock, silentLog);
    for (const [at, registry] of this.registries.entries())
      view.apply(
        controlName(at),
        create(controlMessage.FollowEventSchema, { targets: registry.since(0) }),
        true,
      );
    return view.targets
      .ready('s')
      .map(({ name }) => name)
      .sort();
  }
}

const control = fc.integer({ min: 0, max: CONTROLS - 1 });
const target = fc.integer({ min: 0, max: TARGETS - 1 });
const followed = fc.constantFrom(...FOLLOWED);

/** One step of a history in which one in `every` calls of a target is its final state. */
const stepOf = (every: number) =>
  fc.oneof(
    fc.record({
      kind: fc.constant('call' as const),
      a: control,
      b: target,
      state: fc.oneof(
        { weight: every - 1, arbitrary: fc.constant<State>('ready') },
        { weight: 1, arbitrary: fc.constantFrom<State>('draining', 'left') },
      ),
    }),
    fc.record({ kind: fc.constantFrom('exchange' as const, 'cut' as const), a: control, b: control }),
    fc.record({ kind: fc.constantFrom('tell' as const, 'lose' as const), a: followed }),
  );

type Step = ReturnType<typeof stepOf> extends fc.Arbitrary<infer T> ? T : never;

const actions: Record<Step['kind'], (cluster: SimulatedCluster, one: Step) => void> = {
  call: (cluster, one) => {
    if (one.kind === 'call') cluster.call(one.a, one.b, one.state);
  },
  exchange: (cluster, one) => {
    if (one.kind === 'exchange' || one.kind === 'cut') cluster.exchange(one.a, one.b);
  },
  cut: (cluster, one) => {
    if (one.kind === 'exchange' || one.kind === 'cut') cluster.cut(one.a, one.b);
  },
  tell: (cluster, one) => {
    cluster.send(one.a);
  },
  lose: (cluster, one) => {
    cluster.lose(one.a);
  },
};

describe('targets that control instances relay to each other', () => {
  it('reach a process that follows two instances as if it followed all, whatever streams are cut meanwhile', () => {
    // Guards against a target that gets no work, or gets work after it left, until the process restarts: a change that was sent
    // while a stream was cut is never sent again.
    fc.assert(
      fc.property(fc.array(stepOf(20), { maxLength: 120 }), (steps) => {
        const cluster = new SimulatedCluster();
        for (const one of steps) actions[one.kind](cluster, one);
        cluster.settle();
        expect(cluster.ready()).toEqual(cluster.readyByAll());
      }),
      { numRuns: 1_500 },
    );
  });

  it('never become ready again after the process received them as draining or left, whichever way older reports arrive', () => {
    // Guards against new work for a draining target: one instance reports that it drains, and the older report of another one
    // that it is ready arrives later over a slow stream.
    fc.assert(
      fc.property(fc.array(stepOf(4), { maxLength: 120 }), (steps) => {
        const cluster = new SimulatedCluster();
        const over = new Set<string>();
        for (const one of steps) {
          actions[one.kind](cluster, one);
          for (const name of cluster.ready()) expect(over.has(name)).toBe(false);
          for (const name of cluster.drainingOrLeft()) over.add(name);
        }
      }),
      { numRuns: 1_500 },
    );
  });
});
