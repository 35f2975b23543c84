/** Runs a control instance in a worker thread. */
import { once } from 'node:events';
import { Worker, isMainThread, parentPort, workerData } from 'node:worker_threads';
import type { MessagePort } from 'node:worker_threads';
import { match } from 'ts-pattern';
import { ControlStandIn, MemoryDocuments } from '../fixture/index.js';
import type { ControlPeer } from '../membership/index.js';

/** Command sent to the worker thread. */
type Command =
  | { readonly kind: 'controls'; readonly controls: readonly ControlPeer[] }
  | { readonly kind: 'accept'; readonly service: string; readonly text: string }
  | { readonly kind: 'vouched'; readonly vouched: boolean }
  | { readonly kind: 'stop' };

/** Handle of a worker thread with a control instance. */
export class ControlThread {
  private ending: Promise<void> | undefined;

  private constructor(
    readonly name: string,
    /** host:port. */
    readonly address: string,
    private readonly worker: Worker,
  ) {}

  /** Starts `count` threads whose control instances are peers of each other. */
  static async startAll(count: number): Promise<ControlThread[]> {
    const threads = await Promise.all(Array.from({ length: count }, (_, index) => this.start(`c${index}`)));
    const controls = threads.map(({ name, address }) => ({ name, address }));
    for (const thread of threads) thread.send({ kind: 'controls', controls });
    return threads;
  }

  private static async start(name: string): Promise<ControlThread> {
    const worker = new Worker(new URL(import.meta.url), { workerData: name });
    const [address] = (await once(worker, 'message')) as [string];
    return new ControlThread(name, address, worker);
  }

  accept(service: string, text: string): void {
    this.send({ kind: 'accept', service, text });
  }

  setVouched(vouched: boolean): void {
    this.send({ kind: 'vouched', vouched });
  }

  /** Stops the thread. Further calls wait for the same stop. */
  stop(): Promise<void> {
    this.ending ??= this.end();
    return this.ending;
  }

  private async end(): Promise<void> {
    const exited = once(this.worker, 'exit');
    this.send({ kind: 'stop' });
    await exited;
  }

  private send(command: Command): void {
    this.worker.postMessage(command);
  }
}

async function runThread(name: string, port: MessagePort): Promise<void> {
  const documents = new MemoryDocuments();
  const controls: ControlPeer[] = [];
  const standIn = await ControlStandIn.start({ name, documents, controls });
  port.postMessage(standIn.address);
  port.on('message', (command: Command) => {
    match(command)
      .with({ kind: 'controls' }, (all) => controls.splice(0, controls.length, ...all.controls))
      .with({ kind: 'accept' }, ({ service, text }) => documents.accept(service, text))
      .with({ kind: 'vouched' }, ({ vouched }) => {
        documents.setVouched(vouched);
      })
      .with({ kind: 'stop' }, () => {
        void standIn.stop().then(() => {
          port.close();
        });
      })
      .exhaustive();
  });
}

if (!isMainThread && parentPort !== null) await runThread(workerData as string, parentPort);
