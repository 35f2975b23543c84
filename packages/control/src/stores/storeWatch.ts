/** Watches the stores of kept KV cache that the configuration names. */
import { configuration } from '@jasmineroute/configuration';
import type { Clock, Log } from '@jasmineroute/core';
import type { ConfigurationState } from '../configuration/index.js';
import { controlEvents } from '../events.js';

/** Pause between two looks at a store, milliseconds: each costs it a connection of 1 ms. */
const LOOK_MS = 700;

/** Longest time for a connection to open, milliseconds: some hundred times the way there and back. */
const CONNECT_MS = 400;

/** Looks for a store. */
export interface StorePort {
  /** Resolves when a store can be reached; rejects otherwise. */
  reach(address: string, timeoutMs: number): Promise<void>;
}

const decoder = new TextDecoder();

/**
 * Knows which stores answer. A target that is told to fetch from a store that is gone waits some hundred ms for it,
 * with each request: first tokens are late while it lasts, and nothing else shows why.
 */
export class StoreWatch {
  private readonly lostAddresses = new Set<string>();
  private readonly watched = new Set<string>();
  private readonly listeners = new Set<() => void>();
  private readonly stopped = new AbortController();
  private read: { readonly number: bigint; readonly addresses: readonly string[] } = {
    number: 0n,
    addresses: [],
  };

  constructor(
    private readonly state: ConfigurationState,
    private readonly port: StorePort,
    private readonly clock: Clock,
    private readonly log: Log,
  ) {}

  /** Addresses of stores that give no answer. */
  lost(): string[] {
    return [...this.lostAddresses];
  }

  /** Calls back after each change. Returns the way to stop. */
  onChange(listener: () => void): () => void {
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }

  /** Begins to watch, also stores of later configurations. */
  start(): void {
    this.adjust();
    this.state.onChange(() => {
      this.adjust();
    });
  }

  stop(): void {
    this.stopped.abort();
  }

  /** Addresses of the configuration held; it is read once for each number, as it may be large. */
  private addresses(): readonly string[] {
    const { number, content } = this.state.held();
    if (number !== this.read.number) this.read = { number, addresses: storesOf(content) };
    return this.read.addresses;
  }

  private adjust(): void {
    for (const address of this.addresses()) {
      if (this.watched.has(address)) continue;
      this.watched.add(address);
      void this.watch(address);
    }
  }

  private async watch(address: string): Promise<void> {
    const { signal } = this.stopped;
    while (!signal.aborted && this.addresses().includes(address)) {
      const isLost = await this.port.reach(address, CONNECT_MS).then(
        () => false,
        () => true,
      );
      this.note(address, isLost);
      await this.clock.sleep(LOOK_MS, signal).catch(() => undefined);
    }
    this.watched.delete(address);
    this.note(address, false);
  }

  private note(address: string, isLost: boolean): void {
    if (this.lostAddresses.has(address) === isLost || this.stopped.signal.aborted) return;
    if (isLost) this.lostAddresses.add(address);
    else this.lostAddresses.delete(address);
    this.log.event(isLost ? controlEvents.storeLost : controlEvents.storeFound, { store: address });
    for (const listener of this.listeners) listener();
  }
}

function storesOf(content: Uint8Array): string[] {
  const parsed = configuration.safeParse(JSON.parse(decoder.decode(content)));
  const services = parsed.success ? parsed.data.services : [];
  return services.flatMap(({ storeAddress: address }) => (address === undefined ? [] : [address]));
}
