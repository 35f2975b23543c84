/** Troubles of a chaos run. Each ends by itself: what it broke works again afterwards. */
import { systemClock } from '@jasmineroute/core';
import type { Cluster, FaultProxy, Member, MemberRole } from '@jasmineroute/testkit';
import type { Random } from '../random/index.js';
import type { TroubleName } from './settings.js';

/** What happened, and when, for the report and for excuses. */
export interface TroubleRecord {
  readonly trouble: TroubleName;
  /** Processes or links that it hit. */
  readonly victims: readonly string[];
  readonly fromMs: number;
  readonly toMs: number;
  /** Something that should have worked and did not: a planned stop that failed. */
  readonly problem?: string;
}

/** Where trouble is made. */
export interface Scene {
  readonly cluster: Cluster;
  readonly random: Random;
  /** Processes that are in trouble already: two troubles may run at once, but not on one process. */
  readonly busy: Set<string>;
}

interface Happening {
  readonly victims: readonly string[];
  /** Resolves, with a problem if there was one, when all works again. */
  readonly over: Promise<string | undefined>;
}

const ROLES: readonly MemberRole[] = ['control', 'entry', 'agent', 'engine', 'plain'];
const STOP_LIMIT_MS = 60_000;
const START_TRIES = 3;
const START_PAUSE_MS = 500;

const between = (random: Random, low: number, high: number): number => low + random.float() * (high - low);

function pickMember({ cluster, random, busy }: Scene): Member {
  const role = ROLES[random.below(ROLES.length)] ?? 'agent';
  const free = (members: readonly Member[]): Member[] => members.filter(({ name }) => !busy.has(name));
  const ofRole = free(cluster.role(role));
  const members = ofRole.length > 0 ? ofRole : free([...cluster.members.values()]);
  const member = members[random.below(members.length)];
  if (member === undefined) throw new Error('every process is in trouble');
  return member;
}

function pickLink(scene: Scene): { name: string; link: FaultProxy } {
  const member = pickMember(scene);
  const callers = member.callerLink !== undefined && scene.random.chance(0.5);
  const link = callers ? member.callerLink : member.link;
  if (link === undefined) throw new Error('chaos needs proxied links');
  return { name: callers ? `${member.name} callers` : member.name, link };
}

async function killAndReturn(member: Member, returnMs: number): Promise<undefined> {
  await member.kill();
  await systemClock.sleep(returnMs);
  await startAgain(member);
  return undefined;
}

/** A start can fail for a moment, as when the old process's port is not free yet. */
async function startAgain(member: Member): Promise<void> {
  for (let attempt = 1; ; attempt += 1) {
    try {
      await member.start();
      return;
    } catch (error) {
      if (attempt === START_TRIES) throw error;
      await systemClock.sleep(START_PAUSE_MS);
    }
  }
}

function kill(scene: Scene): Happening {
  const member = pickMember(scene);
  return { victims: [member.name], over: killAndReturn(member, between(scene.random, 100, 2_000)) };
}

function killPair(scene: Scene): Happening {
  const members = [...new Set([pickMember(scene), pickMember(scene)])];
  const returns = members.map((member) => killAndReturn(member, between(scene.random, 100, 2_000)));
  return { victims: members.map((member) => member.name), over: Promise.all(returns).then(() => undefined) };
}

/** Something done to a link at once, with nothing to put right. */
const instant =
  (act: (link: FaultProxy, scene: Scene) => void) =>
  (scene: Scene): Happening => {
    const { name, link } = pickLink(scene);
    act(link, scene);
    return { victims: [name], over: Promise.resolve(undefined) };
  };

/** A condition of a link that holds for a while. */
const lasting =
  (act: (link: FaultProxy, scene: Scene) => void, longestMs: number) =>
  (scene: Scene): Happening => {
    const { name, link } = pickLink(scene);
    act(link, scene);
    const over = systemClock.sleep(between(scene.random, 300, longestMs)).then(() => {
      link.clear();
      return undefined;
    });
    return { victims: [name], over };
  };

function pause(scene: Scene): Happening {
  const member = pickMember(scene);
  member.process.pause();
  const over = systemClock.sleep(between(scene.random, 200, 3_000)).then(() => {
    member.process.resume();
    return undefined;
  });
  return { victims: [member.name], over };
}

async function stopAndReturn(member: Member): Promise<string | undefined> {
  const exit = await member.stop(STOP_LIMIT_MS);
  await startAgain(member);
  if (exit.code === 0) return undefined;
  return `planned stop of ${member.name} ended with ${exit.signal ?? `code ${exit.code ?? 'unknown'}`}`;
}

/** All daemons of one role, one after the other, as an operator restarts them. */
function rollingStop({ cluster, random, busy }: Scene): Happening {
  const roles: readonly MemberRole[] = ['control', 'entry', 'agent'];
  const all = cluster.role(roles[random.below(roles.length)] ?? 'entry');
  const members = all.filter(({ name }) => !busy.has(name));
  const over = async (): Promise<string | undefined> => {
    const problems: string[] = [];
    for (const member of members) {
      const problem = await stopAndReturn(member);
      if (problem !== undefined) problems.push(problem);
    }
    return problems.length === 0 ? undefined : problems.join('; ');
  };
  return { victims: members.map((member) => member.name), over: over() };
}

/** Troubles by name. */
export const troubles: Readonly<Record<TroubleName, (scene: Scene) => Happening>> = {
  kill,
  'kill-pair': killPair,
  reset: instant((link) => {
    link.reset();
  }),
  'black-hole': instant((link) => {
    link.blackHole();
  }),
  'black-hole-one-way': instant((link, { random }) => {
    link.blackHole([random.chance(0.5) ? 'up' : 'down']);
  }),
  delay: lasting((link, { random }) => {
    link.set({ latencyMs: between(random, 20, 300) });
  }, 3_000),
  partition: lasting((link) => {
    link.partition();
  }, 3_000),
  pause,
  'rolling-stop': rollingStop,
};

/** Makes trouble, one after the other, until the time is over. */
export async function makeTrouble(
  scene: Scene,
  names: readonly TroubleName[],
  meanPauseMs: number,
  start: number,
  endMs: number,
): Promise<TroubleRecord[]> {
  const records: TroubleRecord[] = [];
  const now = (): number => systemClock.monotonic() - start;
  while (names.length > 0) {
    await systemClock.sleep(Math.min(scene.random.exponential(meanPauseMs), meanPauseMs * 4));
    if (now() >= endMs) break;
    const trouble = names[scene.random.below(names.length)] ?? 'kill';
    const fromMs = now();
    const { victims, over } = troubles[trouble](scene);
    for (const victim of victims) scene.busy.add(victim);
    const problem = await over;
    for (const victim of victims) scene.busy.delete(victim);
    records.push({ trouble, victims, fromMs, toMs: now(), problem });
  }
  return records;
}
