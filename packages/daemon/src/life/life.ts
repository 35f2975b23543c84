/** A process from checked settings to its end. */
import {
  StallWatch,
  TaskError,
  createLog,
  createMetrics,
  createTextMetrics,
  combineMetrics,
  startTracing,
  systemClock,
} from '@jasmineroute/core';
import type { AcceptedSeries, Log, Metrics } from '@jasmineroute/core';
import { Peers, listen } from '@jasmineroute/protocol';
import type { Readiness, RoleContext, RpcServer, TlsStore } from '@jasmineroute/protocol';
import { daemonEvents } from '../events.js';
import { daemonMetrics } from '../metrics.js';
import { serveHealth, serveMetrics } from '../health/index.js';
import type { HealthServer } from '../health/index.js';
import type { Role, RunningRole } from '../role/index.js';
import type { DaemonSettings } from '../setting/index.js';
import { openDescriptors } from './descriptors.js';
import { drawIncarnation } from './incarnation.js';
import { ownMemory, watchMemory } from './memoryWatch.js';
import { prepareRuntime } from './runtime.js';

/** Exit code of a process that could not start or broke. */
export const EXIT_FAULT = 1;

/** Longest wait for open calls between processes to close after the drain, milliseconds. */
const LAST_BYTES_MS = 2_000;

/** Time for which connections wait to be accepted from which on it is logged, milliseconds. */
const LONG_BACKLOG_MS = 250;

/** Longest planned stop after a task has failed, milliseconds: the drain may wait for what that task was to do. */
const FAILED_STOP_MS = 30_000;

/** Checked settings: every role's and the role's own. */
export interface Plan {
  readonly daemon: DaemonSettings;
  readonly role: Role;
  readonly roleSettings: Record<string, unknown>;
  readonly tls: TlsStore | undefined;
}

interface Parts {
  readonly role: RunningRole;
  readonly rpc: RpcServer;
  readonly health: HealthServer | undefined;
  readonly metricsServer: HealthServer | undefined;
  readonly peers: Peers;
  readonly metrics: Metrics;
  readonly log: Log;
  readonly endTraces: () => Promise<void>;
}

interface Measuring {
  readonly metrics: Metrics;
  /** Serves the text, where it is asked for. */
  readonly server: HealthServer | undefined;
}

function measureMemory(metrics: Metrics): void {
  const { rss, anonymous, heapUsed, heapTotal, external, compilersPeak } = ownMemory.usage();
  metrics.gauge(daemonMetrics.resident, rss);
  if (anonymous !== undefined) metrics.gauge(daemonMetrics.anonymous, anonymous);
  metrics.gauge(daemonMetrics.heapUsed, heapUsed);
  metrics.gauge(daemonMetrics.heapReserved, heapTotal);
  metrics.gauge(daemonMetrics.external, external);
  metrics.gauge(daemonMetrics.compilersPeak, compilersPeak);
  const descriptors = openDescriptors();
  if (descriptors !== undefined) metrics.gauge(daemonMetrics.descriptors, descriptors);
}

async function measuringOf(settings: DaemonSettings, log: Log): Promise<Measuring> {
  const { role, name, dataCentre, statsd, metricsPort, host } = settings;
  const labels = { role, instance: name, data_centre: dataCentre };
  const all: Metrics[] = [];
  if (statsd !== undefined) {
    const [address = '', port = ''] = statsd.split(':');
    all.push(createMetrics(address, Number(port), labels));
  }
  if (metricsPort === undefined) return { metrics: combineMetrics(all), server: undefined };
  const text = createTextMetrics(labels);
  const server = await serveMetrics(host, metricsPort, log, () => {
    try {
      measureMemory(text);
    } catch {
      // Told by the watch of the memory. The other figures are served.
    }
    return text.text();
  });
  return { metrics: combineMetrics([...all, text]), server };
}

async function endTracesOf(settings: DaemonSettings): Promise<() => Promise<void>> {
  if (settings.otlpUrl === undefined) return () => Promise.resolve();
  return startTracing(settings.otlpUrl, `jasmineroute-${settings.role}`, settings.name);
}

function recordSeries(log: Log, metrics: Metrics, { listener, connections, ms }: AcceptedSeries): void {
  if (connections < 2) return;
  metrics.timing(daemonMetrics.acceptBacklog, ms, { listener });
  metrics.count(daemonMetrics.acceptedInSeries, connections, { listener });
  if (ms >= LONG_BACKLOG_MS)
    log.event(daemonEvents.acceptBacklog, { listener, connections, ms: Math.round(ms) });
}

function watchStalls(log: Log, metrics: Metrics): StallWatch {
  const stalls = new StallWatch(
    systemClock,
    ({ ms, usedMs }) => {
      log.event(daemonEvents.stalled, { ms: Math.round(ms), usedMs: Math.round(usedMs) });
      metrics.timing(daemonMetrics.stall, ms);
    },
    undefined,
    (series) => {
      recordSeries(log, metrics, series);
    },
  );
  stalls.start();
  return stalls;
}

/** Answers for the role while it starts: the platform learns that the process lives, and what it waits for. */
class StartingRole {
  private role: RunningRole | undefined;
  private waitsFor: string | undefined;

  readonly reportWait = (waitsFor: string | undefined): void => {
    this.waitsFor = waitsFor;
  };

  started(role: RunningRole): void {
    this.role = role;
  }

  readiness(): Readiness {
    if (this.role !== undefined) return this.role.readiness();
    const reason = this.waitsFor === undefined ? 'starting' : `starting: ${this.waitsFor}`;
    return { ready: false, reason };
  }
}

async function assemble(plan: Plan, log: Log, stop: (reason: string) => void): Promise<Parts> {
  const settings = plan.daemon;
  const endTraces = await endTracesOf(settings);
  const { metrics, server } = await measuringOf(settings, log);
  const peers = new Peers(plan.tls, settings.sourceAddress);
  const stalls = watchStalls(log, metrics);
  const starting = new StartingRole();
  const health =
    plan.role.answersPlatform === true
      ? undefined
      : await serveHealth(settings.host, settings.healthPort, log, () => starting.readiness());
  const context: RoleContext = {
    name: settings.name,
    incarnation: drawIncarnation(systemClock),
    dataCentre: settings.dataCentre,
    dataFolder: settings.dataFolder,
    controls: settings.controls,
    clock: systemClock,
    stalls,
    log,
    metrics,
    peers,
    stop,
    reportWait: starting.reportWait,
  };
  const created = await plan.role.create(context, plan.roleSettings);
  if (created.isErr()) throw new Error(created.error.message);
  const role = created.value;
  const rpc = await listen(
    settings.host,
    settings.port,
    (router) => {
      role.routes(router);
    },
    plan.tls,
    { stalls, log, urgentServices: role.urgentServices },
  );
  await role.start(settings.advertise ?? rpc.address);
  starting.started(role);
  return { role, rpc, health, metricsServer: server, peers, metrics, log, endTraces };
}

async function stop(parts: Parts, reason: string): Promise<void> {
  parts.log.event(daemonEvents.draining, { reason });
  await parts.role.drain();
  await parts.role.close();
  // The last bytes of streams that have just finished still leave; a peer that never closes is not waited for.
  await Promise.race([parts.rpc.drain(), systemClock.sleep(LAST_BYTES_MS)]);
  await parts.rpc.close();
  parts.health?.close();
  parts.metricsServer?.close();
  parts.peers.close();
  await parts.metrics.close();
  await parts.endTraces();
  parts.log.event(daemonEvents.stopped);
}

/**
 * Stops the process once, on a signal or on the role's own wish. Later signals change nothing: a platform that
 * repeats its signal must not cut the streams that the first one let finish.
 */
class Stopping {
  private parts: Parts | undefined;
  private reason: string | undefined;
  private draining = false;
  private exitCode = 0;

  constructor(private readonly log: Log) {
    for (const signal of ['SIGTERM', 'SIGINT']) {
      process.on(signal, () => {
        this.ask(signal);
      });
    }
  }

  /** Stops as soon as the process is assembled. */
  readonly ask = (reason: string): void => {
    if (this.reason !== undefined) {
      this.log.event(daemonEvents.stopRepeated, { reason });
      return;
    }
    this.reason = reason;
    this.begin();
  };

  /** Stops in the same way as a task has failed that has to last; the exit code tells. */
  readonly fail = (error: TaskError): void => {
    const stack = error.cause instanceof Error ? error.cause.stack : undefined;
    this.log.event(daemonEvents.taskFailed, { error: error.message, stack });
    this.exitCode = EXIT_FAULT;
    systemClock.after(FAILED_STOP_MS, () => process.exit(EXIT_FAULT));
    this.ask('a task failed');
  };

  /** The process is assembled: a stop that was asked for before begins now. */
  assembled(parts: Parts): void {
    this.parts = parts;
    if (this.reason !== undefined) this.begin();
  }

  private begin(): void {
    if (this.parts === undefined || this.draining) return;
    this.draining = true;
    void stop(this.parts, this.reason ?? '').then(
      () => process.exit(this.exitCode),
      (error: unknown) => {
        this.log.event(daemonEvents.uncaught, { error: String(error) });
        process.exit(EXIT_FAULT);
      },
    );
  }
}

function watchBreaks(log: Log, stopping: Stopping): void {
  process.on('uncaughtException', (error) => {
    log.event(daemonEvents.uncaught, { error: error.message, stack: error.stack });
    process.exit(EXIT_FAULT);
  });
  process.on('unhandledRejection', (reason) => {
    if (reason instanceof TaskError) {
      stopping.fail(reason);
      return;
    }
    const stack = reason instanceof Error ? reason.stack : undefined;
    log.event(daemonEvents.unhandledRejection, { error: String(reason), stack });
  });
}

/** Runs a process until a signal ends it. Prints one JSON line on standard output once it serves. */
export async function run(plan: Plan): Promise<void> {
  prepareRuntime();
  const { role, name, dataCentre, logLevel, logStream } = plan.daemon;
  const log = createLog(logLevel, { role, name, dataCentre }, logStream);
  const stopping = new Stopping(log);
  watchBreaks(log, stopping);
  watchMemory(systemClock, log);
  try {
    const parts = await assemble(plan, log, stopping.ask);
    const http = parts.role.httpAddress?.() ?? parts.health?.address;
    const line = { ready: true, role, name, rpc: parts.rpc.address, http, pid: process.pid };
    log.event(daemonEvents.started, line);
    process.stdout.once('error', (error) => {
      log.event(daemonEvents.outputRefused, { problem: String(error) });
    });
    process.stdout.write(`${JSON.stringify(line)}\n`);
    stopping.assembled(parts);
  } catch (error) {
    log.event(daemonEvents.startFailed, { error: error instanceof Error ? error.message : String(error) });
    process.exit(EXIT_FAULT);
  }
}
