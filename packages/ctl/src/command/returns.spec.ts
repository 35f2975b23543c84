import { readFileSync } from 'node:fs';
import { describe, expect, it } from 'vitest';
import { exitCodes } from '../exit/index.js';
import { run } from '../fixture/index.js';
import { eventIds } from '../returns/index.js';

const START = Date.parse('2026-01-01T00:00:00.000Z');

/** A line of a process's log, so many milliseconds after the start. */
function line(ms: number, name: string, event: number, fields: object = {}): string {
  const time = new Date(START + ms).toISOString();
  return JSON.stringify({ level: 30, time, pid: 1, role: 'control', name, event, ...fields, msg: 'told' });
}

/** Three instances start at 0 and again at 30 s; one of them ends by itself 8 s later. */
const LOG = [
  line(0, 'c1', eventIds.folderOpened),
  line(100, 'c2', eventIds.folderOpened),
  line(300, 'c3', eventIds.folderOpened),
  line(500, 'c1', eventIds.leading),
  line(600, 'c1', eventIds.inContact),
  line(30_000, 'c2', eventIds.folderOpened),
  line(30_100, 'c1', eventIds.folderOpened),
  line(30_200, 'c3', eventIds.folderOpened),
  line(30_250, 'c3', eventIds.started),
  line(30_400, 'c1', eventIds.streamOpened, { follower: 'e1' }),
  line(30_500, 'c1', eventIds.readRefused, { message: 'no leader in time' }),
  line(30_600, 'c1', eventIds.readRefused, { message: 'no leader in time' }),
  line(30_600, 'c1', eventIds.candidacy, { term: '2' }),
  line(30_650, 'c2', eventIds.candidacy, { term: '2' }),
  line(30_700, 'c1', eventIds.leading, { term: '2' }),
  line(30_800, 'c1', eventIds.stalled, { ms: 640 }),
  line(30_900, 'e1', eventIds.stalled, { ms: 2_000, role: 'entry' }),
  line(31_000, 'c1', eventIds.steppedDown, { term: '2', reason: 'no answers of a quorum' }),
  line(31_400, 'c2', eventIds.candidacy, { term: '3' }),
  line(31_500, 'c2', eventIds.leading, { term: '3' }),
  line(32_000, 'c2', eventIds.inContact),
  line(32_100, 'e1', eventIds.confirmed, { role: 'entry' }),
  line(32_200, 'c2', eventIds.readAnswered),
  line(32_300, 'c2', eventIds.streamOpened, { follower: 'e1' }),
  line(33_000, 'c2', eventIds.memoryPeak, { residentMb: 61.5, anonymousMb: 30 }),
  line(34_000, 'c2', eventIds.memoryPeak, { residentMb: 70, anonymousMb: 28.5 }),
  line(38_000, 'c3', eventIds.started),
];

describe('returns', () => {
  it('shows each restart of all control instances in a row', async () => {
    // A collector may write something before each line, and lines of its own.
    const files = {
      'all.log': LOG.map((text) => ` 12.5 host/control ${text}`).join('\n'),
      'other.log': 'up\n{',
    };
    const { code, out } = await run('returns all.log other.log --output json', files);
    expect(code).toBe(exitCodes.ok);
    const { returns } = JSON.parse(out) as { returns: unknown[] };
    expect(returns).toHaveLength(2);
    expect(returns[0]).toMatchObject({ at: START, controls: 3, leaders: 1, quorumMs: 600, ended: [] });
    expect(returns[1]).toEqual({
      at: START + 30_000,
      controls: 3,
      peakMb: { c2: 70 },
      anonymousPeakMb: { c2: 30 },
      ended: ['control c3'],
      stallMs: 640,
      candidacies: { 2: 2, 3: 1 },
      leaders: 2,
      stepsDown: [{ name: 'c1', term: '2', reason: 'no answers of a quorum', ledMs: 300, nextMs: 500 }],
      quorumMs: 2_000,
      entryMs: 2_100,
      readMs: 2_200,
      openedBefore: 1,
      opened: 2,
      refused: { 'no leader in time': 2 },
    });
    const table = await run('returns all.log', files);
    expect(table.out.split('\n')[2]).toMatch(
      /^2026-01-01T00:00:30\.000Z +3 +70 +30 +1 +640 +2 for 2, 1 for 3 +2 +2000 /,
    );
    expect(table.out.split('\n')[2]).toMatch(
      / c1 of term 2 after 300 ms \(no answers of a quorum\), next after 500 ms *$/,
    );
  });

  // Guards against a leader that is lost after the return and goes unseen, as the configuration was read back before or after.
  it('tells of each leader that steps down, and when the next one is elected', async () => {
    const lines = [
      line(0, 'c1', eventIds.folderOpened),
      line(300, 'c1', eventIds.leading, { term: '1' }),
      line(400, 'c1', eventIds.readAnswered),
      // Unseated by one that is elected before it learns of it.
      line(1_000, 'c2', eventIds.leading, { term: '2' }),
      line(1_050, 'c1', eventIds.steppedDown, { term: '1', reason: 'higher term' }),
      line(4_000, 'c2', eventIds.steppedDown, { term: '2', reason: 'no answers of a quorum' }),
    ];
    const { out } = await run('returns all.log --output json', { 'all.log': lines.join('\n') });
    const { returns } = JSON.parse(out) as { returns: unknown[] };
    expect(returns).toMatchObject([
      {
        leaders: 2,
        stepsDown: [
          { name: 'c1', term: '1', reason: 'higher term', ledMs: 750, nextMs: 0 },
          { name: 'c2', term: '2', reason: 'no answers of a quorum', ledMs: 3_000 },
        ],
      },
    ]);
  });

  it('says what can not be read', async () => {
    expect(await run('returns none.log')).toMatchObject({ code: exitCodes.fault, out: '' });
  });

  it('knows the numbers of the catalogue', () => {
    const catalogue = readFileSync(new URL('../../../../docs/EVENTS.md', import.meta.url), 'utf8');
    const known: Record<string, RegExp> = {
      folderOpened: /opened its folder/,
      candidacy: /standing for election/,
      leading: /elected leader/,
      steppedDown: /stopped leading/,
      inContact: /in contact with a quorum/,
      streamOpened: /a follower opened its stream/,
      readRefused: /the configuration was not read/,
      readAnswered: /the configuration was read back/,
      started: /started/,
      draining: /draining/,
      memoryPeak: /memory of the process has a new peak/,
      stalled: /the event loop stood still/,
      confirmed: /a quorum confirms what is held/,
    };
    for (const [name, id] of Object.entries(eventIds)) {
      const row = catalogue.split('\n').find((text) => text.includes(`| ${id} `));
      expect(row).toMatch(known[name] ?? /^$/);
    }
  });
});
