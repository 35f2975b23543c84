/** Measures the processor time of one round of updates on a control instance, by the number of followers. */
import { create, toBinary } from '@bufbuild/protobuf';
import { silentLog, silentMetrics, systemClock } from '@jasmineroute/core';
import { controlMessage } from '@jasmineroute/protocol';
import { LocalLog } from '../fixture/index.js';
import { FollowService, OtherControls } from '../follow/index.js';
import { OriginStore } from '../origins/index.js';
import { EvidenceStore } from '../quarantine/index.js';
import { RecentReports } from '../recent/index.js';
import { createState } from '../role/createState.js';
import { RelayedTargets, TargetRegistry } from '../targets/index.js';

/** Entries and targets of a run. */
const SIZES = [
  [24, 25],
  [70, 55],
  [360, 55],
  [360, 490],
] as const;

/** Targets on which each entry has work. */
const TARGETS_PER_ENTRY = 20;

const WARM_UP_ROUNDS = 5;
const ROUNDS = 7;
const HEARTBEAT_MS = 1_000;

const median = (values: readonly number[]): number =>
  [...values].sort((a, b) => a - b)[Math.floor(values.length / 2)] ?? 0;

type Events = AsyncGenerator<controlMessage.FollowEvent>;

/** Creates the service of one instance that all entries follow. */
function setUp() {
  const { configuration, machine } = createState();
  const loads = new RecentReports<controlMessage.TargetLoad>(systemClock);
  const work = new RecentReports<controlMessage.EntryWork>(systemClock);
  const relayed = new RelayedTargets(systemClock);
  const evidence = new EvidenceStore(silentLog, silentMetrics);
  const ended = new AbortController();
  const service = new FollowService({
    configuration,
    targets: new TargetRegistry(systemClock, silentLog, HEARTBEAT_MS),
    relayed,
    others: new OtherControls({ relayed, loads, work, evidence, vouched: () => true, clock: systemClock }),
    loads,
    work,
    lostStores: () => [],
    kept: undefined,
    origins: new OriginStore(systemClock, silentMetrics),
    evidence,
    commandLog: new LocalLog(machine),
    clock: systemClock,
    log: silentLog,
    ended: ended.signal,
  });
  return { loads, work, service, ended };
}

async function run(entries: number, targets: number): Promise<void> {
  const { loads, work, service, ended } = setUp();
  const request = create(controlMessage.FollowRequestSchema, { role: 'entry', bulk: true });
  const names = Array.from({ length: entries }, (_, at) => `entry-${at}`);
  const streams = names.map((name) => service.follow({ ...request, name }, { signal: ended.signal }));
  const cpuMs: number[] = [];
  let bytes = 0;
  for (let round = 0; round < WARM_UP_ROUNDS + ROUNDS; round += 1) {
    reportChanges(round, names, targets, loads, work);
    service.notify();
    const start = process.cpuUsage();
    bytes = await readAll(streams);
    const { user, system } = process.cpuUsage(start);
    if (round >= WARM_UP_ROUNDS) cpuMs.push((user + system) / 1_000);
  }
  ended.abort();
  const ms = median(cpuMs);
  const each = Math.round((ms * 1_000) / entries);
  console.log(`| ${entries}, ${targets} | ${ms.toFixed(1)} | ${each} | ${Math.round(bytes / 1_024)} |`);
}

/** Reports of entries and targets between two rounds. */
function reportChanges(
  round: number,
  names: readonly string[],
  targets: number,
  loads: RecentReports<controlMessage.TargetLoad>,
  work: RecentReports<controlMessage.EntryWork>,
): void {
  for (let at = 0; at < targets; at += 1) {
    const targetId = `i-${at.toString().padStart(10, '0')}`;
    loads.take(targetId, create(controlMessage.TargetLoadSchema, { targetId, running: round, waiting: 0 }));
  }
  for (const [at, entry] of names.entries()) {
    const tokens = Array.from({ length: Math.min(TARGETS_PER_ENTRY, targets) }, (_, n) =>
      create(controlMessage.TargetTokensSchema, {
        targetId: `i-${((at + n * 7) % targets).toString().padStart(10, '0')}`,
        tokens: 1_000 + round,
      }),
    );
    work.take(entry, create(controlMessage.EntryWorkSchema, { entry, targets: tokens }));
  }
}

/** Reads and encodes the next event with content of each stream. @returns the total number of bytes. */
async function readAll(streams: readonly Events[]): Promise<number> {
  const sizes = streams.map(async (stream) => {
    for (;;) {
      const next = await stream.next();
      if (next.done === true) return 0;
      if (!next.value.queued) return toBinary(controlMessage.FollowEventSchema, next.value).length;
    }
  });
  return (await Promise.all(sizes)).reduce((sum, size) => sum + size, 0);
}

console.log('| entries, targets | ms a round | us a follower | KB |');
for (const [entries, targets] of SIZES) await run(entries, targets);
