/** Random schedules of requests that crash targets, of ordinary ones beside them, and of crashes with other causes. */
import { create } from '@bufbuild/protobuf';
import { describe, expect, it } from 'vitest';
import { CrashEvidenceSchema } from '../gen/jasmineroute/control_pb.js';
import { EvidenceTable } from './evidenceTable.js';
import { requestFingerprint } from './fingerprint.js';
import { needsTurn, trialNumber, verdictOf } from './verdict.js';

/** Steps of a schedule, of 50 ms each. */
const TICKS = 1_200;
const TARGETS = 8;
const ENTRIES = 4;
const RETURN_TICKS = 50;
const CRASH_TICKS = 2;

/** Ticks from a crash until all entries know of it. */
const REPORT_TICKS = 3;

/** Ticks after which a process in touch acts by what others know. */
const CONTACT_TICKS = 60;

/** Share of the ordinary requests near a crash that may be put in quarantine. */
const MOST_CONDEMNED = 0.001;

const MOST_SENDINGS = 3;

/** Share of the attempts that targets refuse, as they have no capacity. */
const REFUSED_SHARE = 0.1;

/** Time for a verdict, milliseconds: small against the tenth of a millisecond that an entry spends on a request. */
const MOST_VERDICT_MS = 0.1;

const SCHEDULES = 400;

/** Numbers of a linear congruential generator, so that each schedule can be run again by its seed. */
function numbers(seed: number): () => number {
  let state = Math.imul(seed, 2_654_435_761) >>> 0;
  return () => {
    state = (Math.imul(state, 1_664_525) + 1_013_904_223) >>> 0;
    return state / 2 ** 32;
  };
}

interface Caller {
  readonly fingerprint: Uint8Array;
  readonly isDeadly: boolean;
  readonly workTicks: number;
  /** Tick of the next attempt; undefined: it runs, or does not come again. */
  nextAt: number | undefined;
  attempts: number;
  crashes: number[];
  lateSendings: number;
  isCondemned: boolean;
}

interface Run {
  readonly caller: Caller;
  /** The entry that sent it, which knows of its own suspects only. */
  readonly entry: number;
  readonly isSuspect: boolean;
  readonly isTrial: boolean;
  readonly endsAt: number;
}

interface Target {
  start: string;
  upAt: number;
  runs: Run[];
}

/** The targets with the fewest suspects of an entry. */
function withFewestSuspects(targets: readonly Target[], entry: number): Target[] {
  const suspectsAt = ({ runs }: Target): number =>
    runs.filter((run) => run.isSuspect && run.entry === entry).length;
  const fewest = Math.min(...targets.map(suspectsAt));
  return targets.filter((target) => suspectsAt(target) === fewest);
}

/** Plays one schedule. @returns the callers that were near a crash. */
function play(seed: number): Caller[] {
  const random = numbers(seed);
  const table = new EvidenceTable(1_000);
  const callers: Caller[] = [];
  const trials = new Set<string>();
  const reports: { at: number; apply: () => void }[] = [];
  const targets = Array.from({ length: TARGETS }, (_, at): Target => ({
    start: `t${at}-0`,
    upAt: 0,
    runs: [],
  }));
  const addCaller = (at: number, isDeadly: boolean): void => {
    const fingerprint = requestFingerprint('c', String(callers.length), new Uint8Array());
    const workTicks = 1 + Math.floor(random() ** 3 * 60);
    const counts = { attempts: 0, crashes: [], lateSendings: 0, isCondemned: false };
    callers.push({ fingerprint, isDeadly, workTicks, nextAt: at, ...counts });
  };
  const report = (
    now: number,
    fields: { crashed?: string[]; coincident?: string[]; cleared?: string[]; sent?: string[] },
    caller: Caller,
  ): void => {
    const evidence = create(CrashEvidenceSchema, { request: caller.fingerprint, customer: 'c', ...fields });
    reports.push({
      at: now + 1 + Math.floor(random() * REPORT_TICKS),
      apply: () => void table.merge(evidence),
    });
  };
  const crash = (target: Target, now: number, isCoincident: boolean): void => {
    const { start, runs } = target;
    for (const { caller } of runs) {
      caller.crashes.push(now);
      caller.nextAt = now + 1 + Math.floor(random() * 20);
      report(now, { crashed: [start], coincident: isCoincident ? [start] : [] }, caller);
    }
    Object.assign(target, { start: `${start}'`, upAt: now + RETURN_TICKS, runs: [] });
  };
  const deadly = 1 + Math.floor(random() * 3);
  for (let count = 0; count < deadly; count += 1) addCaller(Math.floor(random() * 200), true);
  const waves = Array.from({ length: 3 }, () => Math.floor(random() * TICKS));
  for (let now = 0; now < TICKS; now += 1) {
    for (const { apply } of reports.filter(({ at }) => at === now)) apply();
    if (random() < 0.8) addCaller(now, false);
    // A rack of targets loses power together.
    if (waves.includes(now))
      for (const target of targets.filter(() => random() < 1 / 3)) crash(target, now, true);
    const due = targets.map((target) =>
      target.runs.filter(({ caller, endsAt }) => caller.isDeadly && endsAt <= now),
    );
    const isTogether = due.filter((runs) => runs.length > 0).length > 2;
    for (const target of targets.filter((_target, at) => due[at]?.length)) crash(target, now, isTogether);
    for (const target of targets) {
      for (const { caller } of target.runs.filter(({ endsAt }) => endsAt <= now)) {
        caller.nextAt = undefined;
        if (caller.crashes.length > 0) {
          const { crashed = [], sent = [] } = table.find(caller.fingerprint) ?? {};
          report(now, { crashed, sent, cleared: [...crashed, ...sent] }, caller);
        }
      }
      target.runs = target.runs.filter(({ endsAt }) => endsAt > now);
    }
    for (const caller of callers.filter(({ nextAt }) => nextAt !== undefined && nextAt <= now)) {
      const verdict = verdictOf(table, caller.fingerprint);
      const held = table.find(caller.fingerprint);
      const trial = `${callers.indexOf(caller)} ${held === undefined ? 0 : trialNumber(held)}`;
      const isTrialRunning = targets.some(({ runs }) => runs.some((run) => run.isTrial));
      const mayRun =
        verdict === 'allowed' ||
        verdict === 'suspect' ||
        (verdict === 'doubtful' &&
          !trials.has(trial) &&
          !(isTrialRunning && held !== undefined && needsTurn(held)));
      const entry = Math.floor(random() * ENTRIES);
      const up = targets.filter(({ upAt }) => upAt <= now);
      const usable = verdict === 'allowed' ? up : withFewestSuspects(up, entry);
      const target = usable[Math.floor(random() * usable.length)];
      caller.nextAt = now + 20;
      caller.isCondemned = verdict === 'quarantined' || (verdict === 'doubtful' && trials.has(trial));
      if (!mayRun || target === undefined) continue;
      if (verdict === 'doubtful') {
        trials.add(trial);
        report(now, { sent: [trial] }, caller);
      }
      caller.attempts += 1;
      const [, , third = Number.POSITIVE_INFINITY] = caller.crashes;
      if (caller.isDeadly && now > third + CONTACT_TICKS) caller.lateSendings += 1;
      if (random() < REFUSED_SHARE) continue;
      caller.nextAt = undefined;
      target.runs.push({
        caller,
        entry,
        isSuspect: verdict !== 'allowed',
        isTrial: verdict === 'doubtful',
        endsAt: now + (caller.isDeadly ? CRASH_TICKS : caller.workTicks),
      });
    }
  }
  return callers.filter(({ crashes }) => crashes.length > 0);
}

describe('the verdict on a request', () => {
  const near = Array.from({ length: SCHEDULES }, (_, seed) => play(seed + 1)).flat();

  // Guards against a request that is sent on and on because its crashes are put down to others.
  it('lets no request that crashes targets be sent more than three times after the third crash is known', () => {
    const deadly = near.filter(({ isDeadly }) => isDeadly);
    expect(deadly.length).toBeGreaterThan(SCHEDULES);
    expect(deadly.filter(({ crashes }) => crashes.length >= 3).length).toBeGreaterThan(SCHEDULES);
    expect(Math.max(...deadly.map(({ lateSendings }) => lateSendings))).toBeLessThanOrEqual(MOST_SENDINGS);
    expect(Math.max(...deadly.map(({ crashes }) => crashes.length))).toBeLessThanOrEqual(3 + MOST_SENDINGS);
  });

  // Guards against ordinary requests that are refused because they ran beside one that crashes targets.
  it('puts fewer than one in a thousand ordinary requests near a crash in quarantine', () => {
    const ordinary = near.filter(({ isDeadly }) => !isDeadly);
    expect(ordinary.length).toBeGreaterThan(1_000);
    const condemned = ordinary.filter(({ isCondemned }) => isCondemned);
    expect(condemned.length / ordinary.length).toBeLessThan(MOST_CONDEMNED);
  });

  // Guards against entries and control instances that are held up by a flood of requests that crash targets.
  it('is found in microseconds while a thousand requests are held', () => {
    const table = new EvidenceTable(1_000);
    const requests = Array.from({ length: 1_000 }, (_, at) =>
      requestFingerprint('c', String(at), new Uint8Array()),
    );
    const crashed = Array.from({ length: 16 }, (_, at) => `t${at}`);
    for (const request of requests)
      table.merge(create(CrashEvidenceSchema, { request, customer: 'c', crashed }));
    const begunAt = performance.now();
    for (const request of requests) verdictOf(table, request);
    expect((performance.now() - begunAt) / requests.length).toBeLessThan(MOST_VERDICT_MS);
  });
});
