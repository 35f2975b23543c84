/** The entry role: accepts callers' requests, chooses targets and streams the answers. */
import { ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { ConnectRouter } from '@connectrpc/connect';
import { runCriticalTask } from '@jasmineroute/core';
import type { Fault } from '@jasmineroute/core';
import type { Readiness, RoleContext, RoleProcess } from '@jasmineroute/protocol';
import {
  ClaimClient,
  ControlClient,
  DirectoryClient,
  serveDirectory,
  viewSource,
} from '@jasmineroute/directory';
import type { Announcement, RelayedDirectory } from '@jasmineroute/directory';
import { RetryBudget, loadHasher } from '@jasmineroute/routing';
import { AttemptIds, Claims } from './claim/index.js';
import type { ClaimStore } from './claim/index.js';
import { entryEvents } from './events.js';
import { GateClients } from './gate/index.js';
import { CallerServer, MemoryBudget, Uploads, RequestHandler, createApp, listenerOf } from './http/index.js';
import { entryMetrics } from './metrics.js';
import type { EntrySettings } from './setting/index.js';
import { Admissions, BackgroundTasks, Decisions } from './work/index.js';
import type { EntryContext } from './work/index.js';

/** A running entry. */
export interface EntryProcess extends RoleProcess {
  /** host:port of the listener for callers; available after `start`. */
  httpAddress(): string;
}

/** The part of the directory client that an entry uses. */
export interface EntryDirectory extends RelayedDirectory {
  start(self: () => Announcement): Promise<void>;
  leave(): Promise<void>;
  stop(): Promise<void>;
}

/** Directory and claim store of an entry; tests inject their own. */
export interface EntryDependencies {
  readonly directory: EntryDirectory;
  readonly claims: ClaimStore;
}

/**
 * Retry budget: retries for each request, and the maximum saved up, enough to retry all streams of a lost target at
 * once.
 */
const RETRY_SHARE = 0.2;
const RETRY_BURST = 512;
const GAUGE_INTERVAL_MS = 5_000;
/** Maximum time for which a planned stop waits until the outcomes of claimed calls are recorded, milliseconds. */
const SETTLE_TIMEOUT_MS = 10_000;
/** Maximum time for which a planned stop waits for new connections to cease, milliseconds. */
const ACCEPT_WAIT_MS = 5_000;

/** Creates an entry. */
export async function createEntry(
  context: RoleContext,
  settings: EntrySettings,
  parts: EntryDependencies = defaultDependencies(context),
): Promise<Result<EntryProcess, Fault>> {
  await loadHasher();
  return ok(new Entry(context, settings, parts));
}

function defaultDependencies(context: RoleContext): EntryDependencies {
  const { name, incarnation, controls, peers, clock, log, metrics, dataFolder, dataCentre } = context;
  const directory = new DirectoryClient({
    name,
    incarnation,
    role: 'entry',
    controls,
    peers,
    clock,
    log,
    metrics,
    includeInstances: true,
    folder: dataFolder,
  });
  const calls = { controls: directory.addresses, peers, clock, metrics, dataCentre };
  const store = new ClaimClient(new ControlClient(calls));
  return { directory, claims: store };
}

/** Derives a random seed from a name, so that entries do not make the same random choices. */
export function seedOf(name: string): number {
  let seed = 0;
  for (const character of name) seed = (seed * 31 + (character.codePointAt(0) ?? 0)) >>> 0;
  return seed;
}

class Entry implements EntryProcess {
  private readonly work: EntryContext;
  private readonly callers: RequestHandler;
  private readonly server: CallerServer;
  private readonly stopped = new AbortController();
  private address = '';
  private draining = false;
  /**
   * Aborted at the start of a planned stop, so that neighbours that subscribe to this entry's view switch to
   * another one.
   */
  private readonly leaving = new AbortController();

  constructor(
    private readonly context: RoleContext,
    private readonly settings: EntrySettings,
    private readonly parts: EntryDependencies,
  ) {
    this.work = this.createContext();
    const uploads = new Uploads(new MemoryBudget(settings.maxBufferedBytes), context.clock);
    this.callers = new RequestHandler(this.work, uploads);
    const app = createApp({
      readiness: () => this.readiness(),
      models: (bindings) => this.callers.models(bindings),
      call: (bindings) => this.callers.call(bindings),
    });
    const { clock, stalls, log, metrics } = context;
    const listener = listenerOf(
      app,
      settings.httpHost,
      (incoming, arrival) => {
        this.callers.recordArrival(incoming, arrival);
      },
      (incoming) => {
        this.callers.recordEnd(incoming);
      },
    );
    this.server = new CallerServer(listener, settings, uploads, clock, stalls, log, metrics);
  }

  /** Serves this entry's view to neighbours that can't reach a control instance. */
  routes(router: ConnectRouter): void {
    serveDirectory(router, viewSource(this.parts.directory, this.context.clock, this.leaving.signal));
  }

  async start(address: string): Promise<void> {
    const { dataCentre, log } = this.context;
    await this.parts.directory.start(() => ({ address, dataCentre }));
    this.address = await this.server.listen();
    log.event(entryEvents.listening, { address: this.address });
    runCriticalTask('gauges', this.reportGauges());
  }

  httpAddress(): string {
    return this.address;
  }

  readiness(): Readiness {
    if (this.draining) return { ready: false, reason: 'stopping' };
    if (this.address === '') return { ready: false, reason: 'not listening yet' };
    if (this.parts.directory.view().documents.size === 0)
      return { ready: false, reason: 'no document known yet' };
    return { ready: true, reason: 'serving' };
  }

  /** Reports unready, keeps accepting requests until load balancers have noticed, then finishes all open requests. */
  async drain(): Promise<void> {
    const { clock, log } = this.context;
    this.draining = true;
    this.server.stopKeepAlive();
    this.leaving.abort(new Error('stopping'));
    log.event(entryEvents.draining, { open: this.callers.openRequests });
    await clock.sleep(this.settings.drainDelayMs);
    await this.parts.directory.leave();
    await this.server.drain(ACCEPT_WAIT_MS);
    await this.work.background.idle();
    await this.work.claims.idle(SETTLE_TIMEOUT_MS);
    log.event(entryEvents.drained, { open: this.callers.openRequests, ...this.server.stopRecord() });
  }

  async close(): Promise<void> {
    this.stopped.abort(new Error('stopped'));
    await this.server.close();
    await this.parts.directory.stop();
  }

  private createContext(): EntryContext {
    const { name, incarnation, dataCentre, peers, clock, stalls, log, metrics } = this.context;
    const { settings } = this;
    const view = () => this.parts.directory.view();
    const clients = new GateClients(peers, clock, settings.cancelTimeoutMs);
    const seed = settings.seed === 0 ? seedOf(name) : settings.seed;
    const { probeTimeoutMs, claimTimeoutMs: timeoutMs } = settings;
    return {
      settings,
      clients,
      claims: new Claims({ store: this.parts.claims, view, clock, log, metrics, timeoutMs }),
      decisions: new Decisions({ view, clients, clock, metrics, dataCentre, probeTimeoutMs, seed }),
      admissions: new Admissions(view, clock),
      budget: new RetryBudget({ share: RETRY_SHARE, burst: RETRY_BURST }),
      attemptIds: new AttemptIds(name, incarnation),
      background: new BackgroundTasks(),
      view,
      clock,
      stalls,
      log,
      metrics,
    };
  }

  private async reportGauges(): Promise<void> {
    const { clock, metrics } = this.context;
    while (!this.stopped.signal.aborted) {
      metrics.gauge(entryMetrics.open, this.callers.openRequests);
      metrics.gauge(entryMetrics.connections, this.server.connections);
      metrics.gauge(entryMetrics.bufferedBytes, this.callers.bufferedBytes);
      try {
        await clock.sleep(GAUGE_INTERVAL_MS, this.stopped.signal);
      } catch {
        return;
      }
    }
  }
}
