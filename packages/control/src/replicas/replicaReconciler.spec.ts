import { ManualClock, fault, silentLog } from '@jasmineroute/core';
import { hashKey } from '@jasmineroute/document';
import { beforeEach, describe, expect, it } from 'vitest';
import { DocumentView } from '../documents/index.js';
import { LocalLog, applyOne, controlText } from '../fixture/index.js';
import { createState } from '../role/index.js';
import type { StateParts } from '../role/index.js';
import { ReplicaReconciler } from './replicaReconciler.js';

describe('reconciliation of the replicas', () => {
  let clock: ManualClock;
  let state: StateParts;
  let log: LocalLog;
  let reconciler: ReplicaReconciler;

  beforeEach(() => {
    clock = new ManualClock();
    state = createState();
    log = new LocalLog(state.machine);
    reconciler = new ReplicaReconciler(new DocumentView(state.documents, silentLog), log, clock, silentLog);
  });

  const accept = (replicas: readonly string[], baseVersion: bigint): void => {
    const key = hashKey('root-key');
    const text = controlText(replicas);
    const ids = { service: 'control', applyId: text, baseVersion, checkedRevision: baseVersion };
    applyOne(state.machine, { case: 'apply', value: { ...ids, text, keyHash: key, operatorHashes: [key] } });
  };

  it('requests no change without a control document', async () => {
    void reconciler.run();
    await clock.advance(5_000);
    reconciler.stop();
    expect(log.changes).toHaveLength(0);
  });

  it('repeats the request until the change is complete, also after a change of leader', async () => {
    // Guards against a replacement of a control instance that stays incomplete: the leader is lost in the middle of the
    // change and another one takes over, but the change is requested only once, by the instance that accepted the document.
    accept(['c1=10.0.0.1:1', 'c2=10.0.0.2:1'], 0n);
    log.changeFaults.push(fault('not-leader', 'x'), fault('no-quorum', 'x'));
    void reconciler.run();
    await clock.advance(4_500);
    reconciler.stop();
    const wanted = [
      { name: 'c1', address: '10.0.0.1:1' },
      { name: 'c2', address: '10.0.0.2:1' },
    ];
    expect(log.changes.length).toBeGreaterThanOrEqual(4);
    expect(log.changes).toEqual(log.changes.map(() => wanted));
  });

  it('requests the change of the newest document while an older change is in progress', async () => {
    // Guards against a corrected address of a new instance that takes effect only after half a minute: the first document
    // has an address that nothing listens on, the next one corrects it, and the reconciler waits for the end of the first
    // change.
    accept(['c1=10.0.0.1:1', 'c2=10.0.0.9:1'], 0n);
    log.hangChanges = true;
    reconciler.reconcile();
    accept(['c1=10.0.0.1:1', 'c2=10.0.0.2:1'], 1n);
    reconciler.reconcile();
    reconciler.reconcile();
    await clock.advance(0);
    expect(log.changes.map((wanted) => wanted[1]?.address)).toEqual(['10.0.0.9:1', '10.0.0.2:1']);
  });
});
