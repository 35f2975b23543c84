/** Cluster of replicas with a manual clock and an in-memory network and disks; checks invariants at every step. For tests. */
import type { ConnectRouter } from '@connectrpc/connect';
import { ManualClock, silentLog } from '@jasmineroute/core';
import type { Log } from '@jasmineroute/core';
import { ReplicatedLog } from '../agreement/index.js';
import type { ReplicaAddress, StateMachine, Tuning } from '../agreement/index.js';
import { MemoryDisk } from '../storage/index.js';
import { MemoryNetwork } from './memoryNetwork.js';
import { ProcessClock } from './processClock.js';

const FOLDER = '/replica';

/** Longest simulated sync, in milliseconds. */
const MAX_SYNC_MS = 15;

/** State machine that records every command. */
export class Recorder implements StateMachine {
  commands: string[] = [];

  constructor(private readonly check: (index: bigint, command: string) => void) {}

  apply(index: bigint, command: Uint8Array): Uint8Array {
    const text = Buffer.from(command).toString();
    this.check(index, text);
    this.commands.push(text);
    return Buffer.from(`done ${text}`);
  }

  /** Returns all commands for any query. */
  query(): Uint8Array {
    return this.snapshot();
  }

  snapshot(): Uint8Array {
    return Buffer.from(JSON.stringify(this.commands));
  }

  restore(data: Uint8Array): void {
    this.commands = JSON.parse(Buffer.from(data).toString()) as string[];
  }
}

/** One machine of the cluster. */
export interface Node {
  readonly address: ReplicaAddress;
  disk: MemoryDisk;
  createRecorder: Recorder;
  replica: ReplicatedLog | undefined;
  /** The clock of its process. */
  clock: ProcessClock;
}

/** A proposed command and its outcome. */
export interface Attempt {
  readonly command: string;
  outcome: 'open' | 'done' | 'not-run' | 'may-have-run';
}

/** Outcome of a query. */
export interface Query {
  outcome: 'open' | 'answered' | 'refused';
}

/** A repeatable source of random numbers in [0, 1) (mulberry32). */
export function seeded(seed: number): () => number {
  let state = seed;
  return () => {
    state = (state + 0x6d2b79f5) | 0;
    let mixed = Math.imul(state ^ (state >>> 15), 1 | state);
    mixed = (mixed + Math.imul(mixed ^ (mixed >>> 7), 61 | mixed)) ^ mixed;
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 4_294_967_296;
  };
}

/** Cluster in memory. */
export class MemoryCluster {
  readonly clock = new ManualClock();
  readonly network: MemoryNetwork;
  readonly nodes: Node[];
  readonly attempts: Attempt[] = [];
  /** Descriptions of the violated guarantees. */
  readonly violations: string[] = [];
  /** Commands in the results of queries. */
  private readonly returned = new Set<string>();
  private readonly random: () => number;
  private readonly applied = new Map<bigint, string>();
  private readonly leaders = new Map<bigint, string>();
  private readonly initial: ReplicaAddress[];

  constructor(
    seed: number,
    names: readonly string[],
    private readonly tuning: Partial<Tuning> = {},
    private readonly log: Log = silentLog,
    /** State machine of each replica; a `Recorder` when absent. */
    private readonly createMachine?: () => StateMachine,
  ) {
    this.random = seeded(seed);
    this.network = new MemoryNetwork(this.clock, this.random);
    this.initial = names.map((name) => ({ name, address: name }));
    this.nodes = this.initial.map((address) => this.node(address));
  }

  /** Adds a machine that is not among the initial replicas. */
  add(name: string): Node {
    const createNode = this.node({ name, address: name });
    this.nodes.push(createNode);
    return createNode;
  }

  find(name: string): Node {
    const node = this.nodes.find(({ address }) => address.name === name);
    if (node === undefined) throw new Error(`no node ${name}`);
    return node;
  }

  async startAll(): Promise<void> {
    for (const node of this.nodes) await this.start(node);
  }

  async start(node: Node): Promise<void> {
    if (node.replica !== undefined) return;
    node.createRecorder = this.recorder();
    const clock = new ProcessClock(this.clock);
    node.clock = clock;
    const { name, address } = node.address;
    const opened = await ReplicatedLog.open({
      ...this.tuning,
      name,
      folder: FOLDER,
      initialReplicas: this.initial,
      connect: (to) => this.network.connect(address, to),
      drop: (to) => {
        this.network.drop(address, to);
      },
      clock,
      log: this.log.with({ name }),
      stateMachine: this.createMachine?.() ?? node.createRecorder,
      disk: node.disk,
      random: this.random,
      onFailure: (error) => this.violations.push(`${name} stopped: ${String(error)}`),
    });
    if (opened.isErr()) throw new Error(opened.error.message);
    node.disk.syncDelay = () => clock.sleep(this.random() * MAX_SYNC_MS);
    const replica = opened.value;
    node.replica = replica;
    const routes = (router: ConnectRouter): void => {
      replica.routes(router);
    };
    this.network.serve(address, routes, clock);
    replica.onStatus(() => {
      this.checkLeader(replica);
    });
    await replica.start(address);
  }

  /** Suspends the process for `ms` milliseconds: it neither receives nor sends, and its timers are late. */
  stall(node: Node, ms: number): void {
    node.clock.stall(ms);
  }

  /** Simulates a power failure of the machine. */
  crash(node: Node): void {
    const { replica } = node;
    if (replica === undefined) return;
    node.replica = undefined;
    this.network.unserve(node.address.address);
    node.disk = node.disk.crash(this.random);
    void replica.close();
  }

  /** Ends the process of a machine that keeps its power. */
  endProcess(node: Node): void {
    const { replica } = node;
    if (replica === undefined) return;
    node.replica = undefined;
    this.network.unserve(node.address.address);
    node.disk = node.disk.endProcess();
    void replica.close();
  }

  /** Simulates a power failure after which the disk is replaced by an empty one. */
  wipe(node: Node): void {
    this.crash(node);
    node.disk = MemoryDisk.empty();
  }

  /** Proposes a command at a node; the outcome is recorded when it arrives. */
  propose(node: Node, command: string, timeoutMs = 3_000): Attempt {
    const attempt: Attempt = { command, outcome: 'open' };
    this.attempts.push(attempt);
    const { replica } = node;
    if (replica === undefined) {
      attempt.outcome = 'not-run';
      return attempt;
    }
    void replica.propose(Buffer.from(command), timeoutMs).then((result) => {
      if (result.isErr()) attempt.outcome = result.error.ran === 'not-run' ? 'not-run' : 'may-have-run';
      else if (Buffer.from(result.value).toString() === `done ${command}`) attempt.outcome = 'done';
      else this.violations.push(`${command} got another command's result`);
    });
    return attempt;
  }

  /** Queries a node; a result that lacks a command accepted, or returned, before the query is recorded as a violation. */
  query(node: Node, timeoutMs = 3_000): Query {
    const query: Query = { outcome: 'open' };
    const accepted = this.attempts.filter(({ outcome }) => outcome === 'done');
    const expected = new Set([...accepted.map(({ command }) => command), ...this.returned]);
    void node.replica?.query(Buffer.from('all'), timeoutMs).then((result) => {
      query.outcome = result.isOk() ? 'answered' : 'refused';
      if (result.isErr()) return;
      const returned = JSON.parse(Buffer.from(result.value).toString()) as string[];
      const missing = [...expected].filter((command) => !returned.includes(command));
      for (const command of missing)
        this.violations.push(`${command} was accepted or returned but is missing in a query result`);
      for (const command of returned) this.returned.add(command);
    });
    return query;
  }

  /** Advances time until the condition holds. Returns whether it did within `limitMs`. */
  async until(condition: () => boolean, limitMs: number): Promise<boolean> {
    const end = this.clock.monotonic() + limitMs;
    while (!condition()) {
      if (this.clock.monotonic() >= end) return false;
      await this.clock.advance(10);
    }
    return true;
  }

  /** The leader, if it is in contact with a quorum. */
  leader(): Node | undefined {
    return this.nodes.find(({ replica }) => {
      const status = replica?.status();
      return status?.state === 'leader' && status.vouched;
    });
  }

  /** Checks, once all faults are repaired, that all replicas hold the same commands and that the reported outcomes are true. */
  checkFinalState(among: readonly Node[] = this.nodes): void {
    const [first, ...others] = among.filter(({ replica }) => replica !== undefined);
    const commands = first?.createRecorder.commands ?? [];
    for (const other of others) {
      const isSame = JSON.stringify(other.createRecorder.commands) === JSON.stringify(commands);
      if (!isSame) this.violations.push(`${other.address.name} holds different commands`);
    }
    for (const { command, outcome } of this.attempts) {
      const times = commands.filter((other) => other === command).length;
      if (times > 1) this.violations.push(`${command} ran ${times} times`);
      if (outcome === 'done' && times === 0) this.violations.push(`${command} was accepted but lost`);
      if (outcome === 'not-run' && times > 0)
        this.violations.push(`${command} ran but was reported as not run`);
    }
  }

  private node(address: ReplicaAddress): Node {
    const clock = new ProcessClock(this.clock);
    return { address, disk: MemoryDisk.empty(), createRecorder: this.recorder(), replica: undefined, clock };
  }

  private recorder(): Recorder {
    return new Recorder((index, command) => {
      const known = this.applied.get(index) ?? command;
      this.applied.set(index, known);
      if (known !== command) this.violations.push(`entry ${index.toString()} was ${known}, now ${command}`);
    });
  }

  private checkLeader(replica: ReplicatedLog): void {
    const { state, term, replicaId } = replica.status();
    if (state !== 'leader') return;
    const known = this.leaders.get(term) ?? replicaId;
    this.leaders.set(term, known);
    if (known !== replicaId) this.violations.push(`term ${term.toString()} has two leaders`);
  }
}
