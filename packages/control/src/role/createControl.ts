/** Creates a control instance on the replicated log. */
import { join } from 'node:path';
import { BoundedDisk, ReplicatedLog, fileDisk, withoutLock } from '@jasmineroute/coordination';
import type { Disk, StartWait } from '@jasmineroute/coordination';
import { failCriticalTask, fault } from '@jasmineroute/core';
import type { Fault } from '@jasmineroute/core';
import type { RoleContext } from '@jasmineroute/protocol';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { controlEvents } from '../events.js';
import { DepartureStore, departureFormat } from '../departures/index.js';
import { DisklessLog } from '../log/index.js';
import { FolderMonitor, folderLimit, folderShares } from '../folder/index.js';
import { RecordFiles } from '../files/index.js';
import type { RecordFormat } from '../files/index.js';
import { OriginStore, originFormat } from '../origins/index.js';
import { EvidenceStore, evidenceFormat } from '../quarantine/index.js';
import type { ControlSettings } from '../setting/index.js';
import { Control } from './control.js';
import type { OutsidePorts } from './control.js';
import { createState } from './createState.js';

/** Folders inside the data folder: of the log, of the origins of streams, of evidence on crashes, and of departures. */
const LOG_FOLDER = 'control';
const ORIGINS_FOLDER = 'origins';
const EVIDENCE_FOLDER = 'evidence';
const DEPARTURES_FOLDER = 'departures';

/**
 * Entries and bytes between two snapshots. A snapshot writes the whole state, claims included, so it is taken less often than
 * by the defaults of the log; a restart replays up to so many entries.
 */
const SNAPSHOT_INTERVAL = { snapshotEntries: 20_000, snapshotBytes: 32 * 1024 * 1024 };

/** Time after which a start tells that it waits for the disk, milliseconds. */
const START_NOTICE_MS = 1_000;

function waitText(folder: string, wait: StartWait | undefined): string | undefined {
  if (wait === undefined) return undefined;
  return `the disk of ${folder} does not answer (${wait.call}, since ${wait.since.toISOString()})`;
}

/**
 * Opens the data folder and restores the state. Tests and benchmarks give another disk. Ports that are absent from `outside`
 * are not used: no stores are watched, no orders are sent.
 * An instance that requests the voter role may lack a data folder: it then stands by and is never ready.
 * @returns the control instance; or 'invalid-request' without a data folder, 'storage-failed' when it can't be used.
 */
export async function createControl(
  context: RoleContext,
  settings: ControlSettings,
  given: Disk = fileDisk,
  outside: OutsidePorts = {},
): Promise<Result<Control, Fault>> {
  const { name, dataFolder, clock, log, metrics, peers } = context;
  const state = createState();
  if (dataFolder === undefined) {
    if (!settings.enlists) return err(fault('invalid-request', 'control needs a data folder'));
    log.event(controlEvents.startedWithoutDisk);
    return ok(new Control(context, { ...settings, enlists: false }, state, new DisklessLog(name)));
  }
  const disk = settings.exclusiveFolder ? given : withoutLock(given);
  const folders = [LOG_FOLDER, ORIGINS_FOLDER, EVIDENCE_FOLDER, DEPARTURES_FOLDER].map((folder) =>
    join(dataFolder, folder),
  );
  const onStartWait = (wait: StartWait | undefined): void => {
    context.reportWait?.(waitText(dataFolder, wait));
  };
  const watched = new BoundedDisk({ disk, clock, log, metrics, limitMs: START_NOTICE_MS, onStartWait });
  const limit = await folderLimit(settings.maxFolderMb, watched, folders, dataFolder);
  if (limit !== undefined) log.event(controlEvents.folderBounded, { ...limit });
  const shares = limit === undefined ? undefined : folderShares(limit.bytes);
  const opened = await ReplicatedLog.open({
    name,
    folder: join(dataFolder, LOG_FOLDER),
    initialReplicas: settings.replicas,
    connect: (address) => peers.transport(address, 'agreement'),
    drop: (address) => {
      peers.drop(address, 'agreement');
    },
    received: (address) => peers.received(address, 'agreement'),
    clock,
    log,
    metrics,
    stateMachine: state.machine,
    disk,
    onStartWait,
    lossesToBear: settings.lossesToBear,
    onFailure: (error) => {
      failCriticalTask('replica', error);
    },
    ...SNAPSHOT_INTERVAL,
    maxFolderBytes: shares?.log,
  });
  if (opened.isErr()) return err(opened.error);
  const filesOf = <T>(folder: string, format: RecordFormat<T>, maxBytes: number | undefined) =>
    new RecordFiles(disk, join(dataFolder, folder), format, clock, log, maxBytes);
  const originFiles = filesOf(ORIGINS_FOLDER, originFormat, shares?.origins);
  const origins = new OriginStore(clock, metrics, originFiles);
  await origins.open();
  const evidenceFiles = filesOf(EVIDENCE_FOLDER, evidenceFormat, shares?.evidence);
  const evidence = new EvidenceStore(log, metrics, evidenceFiles);
  await evidence.open();
  const departureFiles = filesOf(DEPARTURES_FOLDER, departureFormat, shares?.departures);
  const departures = new DepartureStore(departureFiles);
  await departures.open();
  const held = () => {
    const { journal, snapshots, largest: largestLog } = opened.value.heldBytes();
    const parts = {
      journal,
      snapshots,
      origins: originFiles.heldBytes(),
      evidence: evidenceFiles.heldBytes(),
      departures: departureFiles.heldBytes(),
    };
    return { parts, largestLog };
  };
  const free = (): Promise<number> => disk.freeBytes(dataFolder);
  const folder = new FolderMonitor({ held, free, limitBytes: limit?.bytes }, clock, log, metrics);
  return ok(
    new Control(context, settings, state, opened.value, outside, origins, evidence, departures, folder),
  );
}
