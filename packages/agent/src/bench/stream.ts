/**
 * Measures the cost of forwarding through the gate: CPU time per chunk and memory per open stream.
 *
 * Run after a build: `node packages/agent/dist/bench/stream.js [seconds] [streams,… [bytes,…]]`.
 * The engine and the readers run in separate processes, so that only the CPU time of the gate is measured.
 */
import { fork } from 'node:child_process';
import type { ChildProcess } from 'node:child_process';
import { once } from 'node:events';
import { fileURLToPath } from 'node:url';
import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';
import { silentLog, silentMetrics, systemClock } from '@jasmineroute/core';
import { createHttpEngine } from '@jasmineroute/engine';
import { gateMessage, listen } from '@jasmineroute/protocol';
import { BlockIndex } from '@jasmineroute/routing';
import { Gate, gateHandlerOptions } from '../gate/index.js';
import { INCARNATION, INTERVAL_MS, engineMain, readerMain } from './streamRoles.js';

/** One line of the result. */
interface Measurement {
  readonly streams: number;
  readonly chunkBytes: number;
  readonly chunksPerSecond: number;
  readonly microsecondsPerChunk: number;
  readonly chunksPerCoreSecond: number;
  readonly heapBytesPerStream: number;
  readonly residentBytesPerStream: number;
}

const AGENT = 1n;
const STREAM_COUNTS = [10, 100, 400, 1_000];
const CHUNK_BYTES = [64, 256, 1_024, 4_096];
const WARM_UP_MS = 2_000;

setFlagsFromString('--expose-gc');
const collectGarbage = runInNewContext('gc') as () => void;

function forkRole(role: string, ...rest: string[]): ChildProcess {
  const started = fork(fileURLToPath(import.meta.url), [role, ...rest]);
  started.on('exit', (code) => {
    if (code !== null && code !== 0) process.exit(code);
  });
  return started;
}

async function receive<T>(process: ChildProcess, type: string): Promise<T> {
  for (;;) {
    const [received] = (await once(process, 'message')) as [{ type: string; value: T }];
    if (received.type === type) return received.value;
  }
}

function gateFor(url: string): Gate {
  const clock = systemClock;
  return new Gate({
    target: {
      service: 's',
      kind: 'model',
      incarnation: () => INCARNATION,
      ready: () => true,
      leaving: () => false,
      models: () => [{ model: 'm', version: '1', adapters: [] }],
      capacity: () => 10_000,
    },
    engine: createHttpEngine({ baseUrl: url, clock, log: silentLog }),
    index: new BlockIndex({ capacity: 16 }),
    incarnation: AGENT,
    bounds: {
      queue: 10_000,
      readerGraceMs: 5_000,
      keepMs: 1,
      keepOnceMs: 1,
      attemptWindowMs: 1,
      bufferBytes: 128 * 1024,
    },
    clock,
    log: silentLog,
    metrics: silentMetrics,
    suspect: () => undefined,
  });
}

interface Memory {
  readonly heap: number;
  readonly resident: number;
}

function memoryUsage(): Memory {
  collectGarbage();
  const { heapUsed, external, rss } = process.memoryUsage();
  return { heap: heapUsed + external, resident: rss };
}

async function chunkCount(reader: ChildProcess): Promise<number> {
  const answer = receive<number>(reader, 'count');
  reader.send({ type: 'count' });
  return answer;
}

async function measure(streams: number, chunkBytes: number, seconds: number): Promise<Measurement> {
  const engine = forkRole('engine', String(chunkBytes));
  const url = await receive<string>(engine, 'ready');
  const gate = gateFor(url);
  const server = await listen('127.0.0.1', 0, (router) => {
    router.service(gateMessage.Gate, gate.service(), gateHandlerOptions);
  });
  const before = memoryUsage();
  const reader = forkRole('reader', server.address, String(streams));
  await receive(reader, 'ready');
  await systemClock.sleep(WARM_UP_MS);
  const [chunksBefore, cpuBefore, started] = [
    await chunkCount(reader),
    process.cpuUsage(),
    systemClock.monotonic(),
  ];
  await systemClock.sleep(seconds * 1_000);
  const cpu = process.cpuUsage(cpuBefore);
  const elapsed = (systemClock.monotonic() - started) / 1_000;
  const chunks = (await chunkCount(reader)) - chunksBefore;
  const after = memoryUsage();
  reader.kill();
  engine.kill();
  gate.stopAll();
  await server.close();
  const microseconds = (cpu.user + cpu.system) / chunks;
  return {
    streams,
    chunkBytes,
    chunksPerSecond: Math.round(chunks / elapsed),
    microsecondsPerChunk: Math.round(microseconds * 10) / 10,
    chunksPerCoreSecond: Math.round(1_000_000 / microseconds),
    heapBytesPerStream: Math.round((after.heap - before.heap) / streams),
    residentBytesPerStream: Math.round((after.resident - before.resident) / streams),
  };
}

function parseNumbers(text: string | undefined, fallback: readonly number[]): readonly number[] {
  return text === undefined ? fallback : text.split(',').map(Number);
}

async function main(): Promise<void> {
  const [seconds = '5', streamCounts, chunkSizes] = process.argv.slice(2);
  process.stdout.write(`one chunk every ${INTERVAL_MS} ms on each stream, ${seconds} s each\n`);
  const pairs = [
    ...parseNumbers(streamCounts, STREAM_COUNTS).map((streams) => [streams, 256] as const),
    ...parseNumbers(chunkSizes, CHUNK_BYTES).map((bytes) => [100, bytes] as const),
  ];
  for (const [streams, bytes] of pairs) {
    process.stdout.write(`${JSON.stringify(await measure(streams, bytes, Number(seconds)))}\n`);
  }
  process.exit(0);
}

const roles: Readonly<Record<string, (args: readonly string[]) => Promise<void>>> = {
  engine: ([bytes = '256']) => engineMain(Number(bytes)),
  reader: ([address = '', streams = '1']) => readerMain(address, Number(streams)),
};

const [role = '', ...rest] = process.argv.slice(2);
await (Object.hasOwn(roles, role) ? roles[role]?.(rest) : main());
