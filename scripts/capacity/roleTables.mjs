// One table for each role: what it holds, sends and needs at the letter's size, what carries it, and how it fails.
import * as budget from './budget.mjs';
import { bytes, cores, figure, table } from './format.mjs';
import { claimsPerSecond, letter, share } from './letter.mjs';

export function entryTable(results, series) {
  const cost = budget.entryCost(results, series);
  const node = budget.nodeCost(results, series, 'entry');
  return table(
    ['What an entry has', 'At full size', 'Mechanism', 'When it fails'],
    [
      [
        'State: targets, customers, documents',
        `${bytes(cost.view)} live`,
        '`packages/directory/src/client`',
        'Kept file and neighbours; the view grows old, gates refuse what is wrong',
      ],
      [
        'Messages: beat and heartbeat',
        `${figure(2)} a second, ${bytes(node.bytes.value)}/s`,
        '`packages/directory/src/client`',
        'Moves to another control instance after 2.5 s of silence',
      ],
      [
        'Messages: claims',
        `${figure(cost.claims)} a second, ${bytes(cost.claimBytes)}/s`,
        '`packages/entry/src/claim`',
        'Refused as not run; routing of the rest goes on',
      ],
      [
        'Messages: probes',
        `${figure(cost.probesPerRequest * share.requestsPerNode)} a second`,
        '`packages/routing/src/policy`',
        'Decides with the answers that came within 50 ms',
      ],
      [
        'Decision: chain, choice, bookkeeping',
        `${figure(cost.decisionMicros)} µs a request with ${figure(share.targetsPerModel)} targets`,
        '`packages/routing/src/policy`, `prefix`',
        'Next candidate of the order',
      ],
      [
        `Requests: ${figure(share.requestsPerNode)} a second`,
        cores(cost.requestCore),
        '`packages/entry/src/work`, `http`',
        'Refused early as not run, or tried again within the retry budget',
      ],
      [
        `Chunks: ${figure(share.chunksPerNode)} a second`,
        `${cores(cost.chunkCore)} ± ${figure(cost.chunkError * 100)}`,
        '`packages/entry/src/answer`, `gate`',
        'Resumed at the gate, continued elsewhere, or an error inside the stream',
      ],
      ['Memory: the whole process under load', bytes(cost.resident), '', ''],
    ],
  );
}

export function agentTable(results, series) {
  const cost = budget.agentCost(results, series);
  const node = budget.nodeCost(results, series, 'agent');
  return table(
    ['What an agent has', 'At full size', 'Mechanism', 'When it fails'],
    [
      [
        `State: ${figure(share.blocksPerTarget)} cached blocks`,
        bytes(cost.index),
        '`packages/routing/src/blockIndex`',
        'Gap or restart: dropped, then read anew from a snapshot',
      ],
      [
        `Messages: ${figure(share.eventsPerTarget)} cache events a second`,
        cores(cost.eventCore),
        '`packages/agent/src/watch`, `packages/routing/src/blockIndex`',
        'What a gap leaves unvouched is dropped',
      ],
      [
        'Messages: beat and heartbeat',
        `${figure(2)} a second, ${bytes(node.bytes.value)}/s`,
        '`packages/directory/src/client`',
        'Another control instance; listed as suspect after 1.6 s, down after 2.6 s',
      ],
      [
        'Lookup of a prompt of 500 blocks',
        `${figure(cost.lookupMicros)} µs`,
        '`packages/routing/src/blockIndex`',
        'Counts as not cached',
      ],
      [
        `Requests: ${figure(share.requestsPerTarget)} a second, with probes`,
        cores(cost.requestCore),
        '`packages/agent/src/gate`',
        'Refused by the gate as not run',
      ],
      [
        `Chunks: ${figure(share.chunksPerTarget)} a second`,
        `${cores(cost.chunkCore)} ± ${figure(cost.chunkError * 100)}`,
        '`packages/agent/src/gate`',
        'Kept for the entry, resumed by ordinal',
      ],
      [
        `Memory: ${figure(share.streamsPerTarget)} open streams`,
        bytes(cost.streams),
        '`packages/agent/src/gate`',
        'A run over its buffer waits for its reader',
      ],
      ['Memory: the whole process under load', bytes(cost.resident), '', ''],
    ],
  );
}

export function controlTable(results, series) {
  const cost = budget.controlCost(results, series);
  const delays = results.control.changes.delays;
  const last = results.control.claims.at(-1);
  return table(
    ['What one of 8 control instances has', 'At full size', 'Mechanism', 'When it fails'],
    [
      [
        `State: documents with ${figure(letter.customers)} customers`,
        bytes(cost.documents),
        '`packages/control/src/documents`',
        'On the disk of a quorum; an empty disk is refilled by the leader before it votes',
      ],
      [
        `Watchers: ${figure(share.watchersPerControl)}, each with a beat a second`,
        `${cores(cost.watcherCore.value)} ± ${figure(cost.watcherCore.error * 100)}; ${bytes(cost.watcherBytes.value)}/s`,
        '`packages/directory/src/server`, `membership`',
        'They move to the other seven',
      ],
      ['The same with one of 8 lost', cores(cost.watcherCoreOneLost.value), '', ''],
      [
        'Exchange and log heartbeats with each of 7 others, nothing changing',
        `${cores(cost.exchangeCore)}; ${bytes(cost.exchangeBytes)}/s`,
        '`packages/directory/src/membership`',
        'Its members count as orphans after 1.5 s, and have 5 s to be heard elsewhere',
      ],
      [
        `Changes: ${figure(share.changesPerSecond)} a second`,
        cores(cost.changeCore),
        '`packages/control/src/documents`',
        'Refused without a quorum',
      ],
      [
        'Change, from sending it to force at the last entry',
        delays.length === 0
          ? 'not measured'
          : `p50 ${figure(delays[Math.floor(delays.length / 2)])} ms, worst ${figure(delays.at(-1))} ms of ${delays.length}`,
        '`packages/directory/src/server`',
        'Watchers of an instance out of touch leave it',
      ],
      [
        `Claims: ${figure(claimsPerSecond)} a second, leader`,
        `${cores(cost.leaderCore.value)} ± ${figure(cost.leaderCore.error * 100)}`,
        '`packages/control/src/claims`, `packages/coordination/src/agreement`',
        'A new leader is elected; claims wait up to 3 s',
      ],
      [
        'The same, each follower',
        cores(cost.followerCore.value),
        '`packages/coordination/src/agreement`',
        'Goes on with a quorum of the rest',
      ],
      [
        `Claim latency at ${figure(last.perSecond)} claims/s, done`,
        `p50 ${figure(last.p50)} ms, p99 ${figure(last.p99)} ms; ${last.failed} failed`,
        '',
        '',
      ],
      ['Memory: the process without watchers', bytes(results.control.bareResident), '', ''],
      ['Memory: with its watchers, without claims', bytes(cost.resident.value), '', ''],
    ],
  );
}
