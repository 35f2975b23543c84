import { create } from '@bufbuild/protobuf';
import { MemoryDisk } from '@jasmineroute/coordination';
import { ManualClock, silentLog, silentMetrics } from '@jasmineroute/core';
import { controlMessage, streamKey } from '@jasmineroute/protocol';
import { beforeEach, describe, expect, it } from 'vitest';
import { RecordFiles } from '../files/index.js';
import { OriginStore, originFormat } from '../origins/index.js';
import { RelayedTargets, TargetRegistry } from '../targets/index.js';
import { SoftwareVersions } from './softwareVersions.js';

/** What an answer says beside the versions: the control instances, and the configuration held. */
const commandLog = { members: () => [{ name: 'c1', address: 'c1:70' }] };
const configuration = { held: () => ({ number: 7n, content: new Uint8Array(0), source: new Uint8Array(0) }) };

const WITHIN_MS = 10_000;
const HEARTBEAT_MS = 1_000;

describe('the software versions that a control instance knows', () => {
  let clock: ManualClock;
  let targets: TargetRegistry;
  let relayed: RelayedTargets;
  let origins: OriginStore;
  let versions: SoftwareVersions;

  beforeEach(() => {
    clock = new ManualClock();
    targets = new TargetRegistry(clock, silentLog, HEARTBEAT_MS);
    relayed = new RelayedTargets(clock);
    origins = new OriginStore(clock, silentMetrics);
    versions = new SoftwareVersions({ targets, relayed, origins, configuration, commandLog, clock });
  });

  const list = (withinMs = WITHIN_MS): { versions: string[]; complete: boolean } =>
    versions.list(create(controlMessage.ListSoftwareVersionsRequestSchema, { service: 's', withinMs }));

  const announce = (name: string, softwareVersion: string): void => {
    const place = { service: 's', address: `${name}:80`, dataCentre: 'here', capacity: 4 };
    targets.beat({ name, ...place, softwareVersion, draining: false, sequence: 1, coldMs: 0, weights: [] });
  };

  // Guards against a stream of a target that has just left, which goes on at the version of those that stay.
  it('include those of targets that have left, that others relay, and that began streams', () => {
    announce('t1', 'v1');
    announce('t2', 'v1.1');
    targets.leave({ name: 't2' });
    const other = { id: 't3', name: 't3', service: 's', address: 't3:80', softwareVersion: 'v1.2' };
    relayed.apply('c2', [create(controlMessage.AnnouncedTargetSchema, other)], true);
    const began = { stream: streamKey('', 'q1'), service: 's', softwareVersion: 'v0', lifetimeMs: 1_000 };
    origins.record(
      create(controlMessage.StreamOriginsSchema, {
        origins: [create(controlMessage.StreamOriginSchema, began)],
      }),
    );
    expect(list().versions.sort()).toEqual(['v0', 'v1', 'v1.1', 'v1.2']);
  });

  // Guards against a version taken for unknown because the process beside a target announced it here without one.
  it('are those that the targets told any instance', () => {
    announce('t1', '');
    announce('t2', '');
    expect(list().versions).toEqual(['']);
    const told = { id: 't1', name: 't1', service: 's', address: 't1:80', softwareVersion: 'v1' };
    relayed.apply('c2', [create(controlMessage.AnnouncedTargetSchema, told)], true);
    expect(list().versions).toEqual(['v1', '']);
    relayed.apply(
      'c2',
      [create(controlMessage.AnnouncedTargetSchema, { ...told, id: 't2', name: 't2' })],
      false,
    );
    expect(list().versions).toEqual(['v1']);
  });

  describe('after a loss of power', () => {
    let disk: MemoryDisk;

    beforeEach(() => {
      disk = MemoryDisk.empty();
    });

    const settle = async (): Promise<void> => {
      for (let turn = 0; turn < 20; turn += 1) await new Promise(setImmediate);
    };

    /** Starts the instance with what its disk holds; no target has called it yet. */
    async function restart(): Promise<void> {
      targets = new TargetRegistry(clock, silentLog, HEARTBEAT_MS);
      relayed = new RelayedTargets(clock);
      const files = new RecordFiles(disk, '/origins', originFormat, clock, silentLog);
      origins = new OriginStore(clock, silentMetrics, files);
      await origins.open();
      versions = new SoftwareVersions({ targets, relayed, origins, configuration, commandLog, clock });
    }

    const recordStream = (name: string, softwareVersion: string): void => {
      const fields = { stream: streamKey('', name), service: 's', softwareVersion, lifetimeMs: 1_000 };
      const began = create(controlMessage.StreamOriginSchema, fields);
      origins.record(create(controlMessage.StreamOriginsSchema, { origins: [began] }));
    };

    // Guards against a stream that goes on at another version, as its origin was not reported or synced before the loss.
    it.each([
      ['called this instance', 'own'],
      ['called another instance', 'relayed'],
    ])(
      'include the version of a target that %s, though no origin of its streams is on the disk',
      async (_, way) => {
        await restart();
        announce('t1', 'v1');
        recordStream('q1', 'v1');
        await settle();
        await clock.advance(1_000);
        await settle();
        if (way === 'own') announce('t2', 'v2');
        else {
          const other = { id: 't2', name: 't2', service: 's', address: 't2:80', softwareVersion: 'v2' };
          relayed.apply('c2', [create(controlMessage.AnnouncedTargetSchema, other)], true);
        }
        await clock.advance(50);
        await settle();
        disk = disk.crash(() => 0);
        await restart();
        announce('t1', 'v1');
        const { versions: known, complete } = list();
        expect(complete ? known.sort() : 'incomplete').toEqual(['v1', 'v2']);
      },
    );

    // Guards against versions that are known for some generations of origins only.
    it('include the version of a target that has not changed for long', async () => {
      await restart();
      announce('t1', 'v1');
      announce('t2', 'v2');
      for (let round = 0; round < 6; round += 1) {
        recordStream(`q${round}`, 'v1');
        await settle();
        await clock.advance(40_000);
        await settle();
      }
      disk = disk.crash(() => 0);
      await restart();
      expect(list().versions.sort()).toEqual(['v1', 'v2']);
    });
  });

  // Guards against an entry out of touch that asks too few instances, or by a configuration that is out of date.
  it('are told with the control instances and the configuration that the instance knows', () => {
    const request = create(controlMessage.ListSoftwareVersionsRequestSchema, { service: 's', withinMs: 1 });
    expect(versions.list(request)).toMatchObject({ controls: ['c1:70'], number: 7n });
  });

  // Guards against an instance that has just started and takes what it has heard for all there is.
  it('are complete only once it has listened for as long as is asked for', async () => {
    announce('t1', 'v1');
    expect(list().complete).toBe(false);
    await clock.advance(WITHIN_MS);
    expect(list().complete).toBe(true);
    expect(list(600_000).complete).toBe(false);
  });
});
