import { Code, ConnectError, createRouterTransport } from '@connectrpc/connect';
import type { Transport } from '@connectrpc/connect';
import { ManualClock } from '@jasmineroute/core';
import type { Log } from '@jasmineroute/core';
import { Peers, controlMessage } from '@jasmineroute/protocol';
import { describe, expect, it } from 'vitest';
import { controlEvents } from '../events.js';
import { LocalLog, until } from '../fixture/index.js';
import { DisklessLog } from '../log/index.js';
import type { CommandLog } from '../log/index.js';
import { createState } from '../role/createState.js';
import { requestVoterRole } from './voterRequests.js';

const OWN = '10.0.0.1:1';
const ANSWERS = '10.0.0.2:1';
const SILENT = '10.0.0.3:1';
const LEADS = '10.0.0.4:1';
const PAUSE_MS = 500;

/** Control instances by address, with the leader that each names; an instance without an entry answers with an error. */
class NamedLeaders extends Peers {
  readonly leaders = new Map<string, string>();
  readonly asked: string[] = [];
  readonly dropped: string[] = [];
  /** Error code of instances without an entry. */
  code = Code.Unavailable;

  override drop(address: string): void {
    this.dropped.push(address);
  }

  override transport(address: string): Transport {
    return createRouterTransport(({ service }) => {
      service(controlMessage.Configurations, {
        enlist: () => {
          this.asked.push(address);
          const leader = this.leaders.get(address);
          if (leader === undefined) throw new ConnectError('no answer', this.code);
          return { leader };
        },
      });
    });
  }
}

/** Runs the requests of one instance, by default one that doesn't vote. `round` waits until so many requests were sent. */
function startRequests(commandLog: CommandLog = new DisklessLog('c1')) {
  const peers = new NamedLeaders();
  const clock = new ManualClock();
  const lines: [number, unknown][] = [];
  const log: Log = { event: ({ id }, fields = {}) => lines.push([id, fields.asked]), with: () => log };
  const ending = new AbortController();
  const known = () => [OWN, ANSWERS, SILENT];
  void requestVoterRole({ name: 'c1', address: OWN, known, commandLog, peers, clock, log }, ending.signal);
  const round = async (requests: number): Promise<void> => {
    peers.asked.length = 0;
    await until(async () => {
      await clock.advance(PAUSE_MS);
      return peers.asked.length >= requests;
    });
  };
  const end = (): void => {
    ending.abort();
  };
  return { peers, clock, lines, round, end };
}

describe('voter requests', () => {
  // A request that timed out used to drop the connection of a busy instance, and with it the streams of its followers.
  it('keep the connection to an instance that does not answer in time, for other calls', async () => {
    const { peers, round, end } = startRequests();
    peers.code = Code.DeadlineExceeded;
    await round(4);
    expect(peers.dropped).toEqual([]);
    end();
  });

  it('go to all others, and to the leader that one of them names', async () => {
    const { peers, round, end } = startRequests();
    peers.leaders.set(ANSWERS, LEADS).set(LEADS, '');
    await round(3);
    end();
    expect(peers.asked.slice(0, 2)).toEqual([ANSWERS, SILENT]);
    expect(peers.asked[2]).toBe(LEADS);
  });

  // Guards against a replaced instance that waits before its first request, so that its vote is missing for longer.
  it('are sent at once by an instance that does not vote', async () => {
    const { peers, end } = startRequests();
    await until(() => peers.asked.length === 2);
    end();
    expect(peers.asked).toEqual([ANSWERS, SILENT]);
  });

  // Guards against an election that is delayed by the load of requests between all voters.
  it('back off while the instance has a vote and no quorum', async () => {
    const log = new LocalLog(createState().machine);
    log.isolate(true);
    const { peers, clock, end } = startRequests(log);
    for (let steps = 0; steps < 120; steps += 1) {
      await clock.advance(PAUSE_MS / 10);
      await new Promise((resolve) => setImmediate(resolve));
    }
    end();
    // Requests go to two others after 0.5, 1.5, 3.5 and 5.5 s.
    expect(peers.asked).toHaveLength(8);
  });

  // Guards against thousands of equal log lines while there is no quorum.
  it('log an answer only when it differs from the last one', async () => {
    const { peers, lines, round, end } = startRequests();
    peers.leaders.set(ANSWERS, '');
    for (let rounds = 0; rounds < 5; rounds += 1) await round(2);
    const [unanswered, answered] = [
      controlEvents.voterRequestUnanswered.id,
      controlEvents.voterRequestAnswered.id,
    ];
    expect(lines).toHaveLength(2);
    expect(lines).toEqual(
      expect.arrayContaining([
        [unanswered, SILENT],
        [answered, ANSWERS],
      ]),
    );
    peers.leaders.set(SILENT, '');
    await until(async () => {
      await round(2);
      return lines.length > 2;
    });
    end();
    expect(lines.slice(2)).toEqual([[answered, SILENT]]);
  });
});
