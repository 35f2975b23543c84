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
import { enlist } from './enlisting.js';

const OWN = '10.0.0.1:1';
const ANSWERS = '10.0.0.2:1';
const SILENT = '10.0.0.3:1';
const LEADS = '10.0.0.4:1';
const PAUSE_MS = 500;

/** Control instances by address: whom each names as the leader; none for one that gives no answer. */
class NamedLeaders extends Peers {
  readonly leaders = new Map<string, string>();
  readonly asked: string[] = [];
  readonly dropped: string[] = [];
  /** What those without a leader answer. */
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
          if (leader === undefined) throw new ConnectError('nobody is there', this.code);
          return { leader };
        },
      });
    });
  }
}

/** An instance that doesn't vote, or the one given, asks the others; runs as many rounds of questions as are asked for. */
function asking(commandLog: CommandLog = new DisklessLog('c1')) {
  const peers = new NamedLeaders();
  const clock = new ManualClock();
  const lines: [number, unknown][] = [];
  const log: Log = { event: ({ id }, fields = {}) => lines.push([id, fields.asked]), with: () => log };
  const ending = new AbortController();
  const known = () => [OWN, ANSWERS, SILENT];
  void enlist({ name: 'c1', address: OWN, known, commandLog, peers, clock, log }, ending.signal);
  const round = async (questions: number): Promise<void> => {
    peers.asked.length = 0;
    await until(async () => {
      await clock.advance(PAUSE_MS);
      return peers.asked.length >= questions;
    });
  };
  const end = (): void => {
    ending.abort();
  };
  return { peers, clock, lines, round, end };
}

describe('enlisting', () => {
  // Guards against a busy instance losing its followers, which then open their streams anew, to a question that took long.
  it('leaves the connection of an instance that does not answer in time to its other calls', async () => {
    const { peers, round, end } = asking();
    peers.code = Code.DeadlineExceeded;
    await round(4);
    expect(peers.dropped).toEqual([]);
    end();
  });

  it('asks all others, and the leader that one of them names', async () => {
    const { peers, round, end } = asking();
    peers.leaders.set(ANSWERS, LEADS).set(LEADS, '');
    await round(3);
    end();
    expect(peers.asked.slice(0, 2)).toEqual([ANSWERS, SILENT]);
    expect(peers.asked[2]).toBe(LEADS);
  });

  // Guards against a replaced instance whose vote is missing for longer than it takes to give it one.
  it('asks at once where it does not vote', async () => {
    const { peers, end } = asking();
    await until(() => peers.asked.length === 2);
    end();
    expect(peers.asked).toEqual([ANSWERS, SILENT]);
  });

  // Guards against an election that is late, as all voters spend their time on asking each other to be taken in.
  it('asks ever more seldom while it has a vote and hears of no leader', async () => {
    const log = new LocalLog(createState().machine);
    log.isolate(true);
    const { peers, clock, end } = asking(log);
    for (let steps = 0; steps < 120; steps += 1) {
      await clock.advance(PAUSE_MS / 10);
      await new Promise((resolve) => setImmediate(resolve));
    }
    end();
    // Two others are asked after 0.5, 1.5, 3.5 and 5.5 s.
    expect(peers.asked).toHaveLength(8);
  });

  // Guards against thousands of lines that say the same while there is no quorum.
  it('logs an answer when it differs from the last one', async () => {
    const { peers, lines, round, end } = asking();
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
