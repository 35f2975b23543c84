/** How control came back after all its instances had started again, told from the logs of the processes. */
import { eventIds } from './logLine.js';
import type { LogLine } from './logLine.js';

/** Starts of control instances that lie no further apart than this are one return, milliseconds. */
const TOGETHER_MS = 5_000;

/** What a line leaves out. */
const UNKNOWN = '?';

/** Part of the control instances that must start for a return. */
const LEAST_PART = 0.5;

/** A leader that stepped down. Times in milliseconds. */
export interface StepDown {
  readonly name: string;
  readonly term: string;
  readonly reason: string;
  /** From its election; undefined: it was elected before the return. */
  readonly ledMs: number | undefined;
  /** To the next election; undefined: there is none. */
  readonly nextMs: number | undefined;
}

/** One return of the control instances. Times are from the first folder that was opened, milliseconds. */
export interface ControlReturn {
  /** Unix milliseconds of the first folder that was opened. */
  readonly at: number;
  readonly controls: number;
  /** Most resident memory of each control instance, MB, as it was logged. */
  readonly peakMb: Readonly<Record<string, number>>;
  /** Most anonymous memory of each, MB: what a limit of a process counts. */
  readonly anonymousPeakMb: Readonly<Record<string, number>>;
  /** Processes that ended without being asked to after the return and started again, each as often as it did. */
  readonly ended: readonly string[];
  /** Longest stall of a control instance. */
  readonly stallMs: number;
  /** Candidacies by the term that was stood for: more than one for a term split its votes. */
  readonly candidacies: Readonly<Record<string, number>>;
  readonly leaders: number;
  /** Each leader that stepped down, also where the configuration was read. */
  readonly stepsDown: readonly StepDown[];
  /** To the first instance that is in contact with a quorum; undefined: none is. */
  readonly quorumMs: number | undefined;
  /** To the first entry that holds a configuration which a quorum confirms, and to the first answer to an operator. */
  readonly entryMs: number | undefined;
  readonly readMs: number | undefined;
  /** Streams that were opened until the contact with a quorum, and in all. */
  readonly openedBefore: number;
  readonly opened: number;
  /** Reads that were refused, by the reason. */
  readonly refused: Readonly<Record<string, number>>;
}

/** Finds each return in the lines of all processes, in any order. */
export function findReturns(lines: readonly LogLine[]): ControlReturn[] {
  const ordered = [...lines].sort((a, b) => a.time - b.time);
  const starts = ordered.filter(({ event }) => event === eventIds.folderOpened);
  const names = new Set(starts.map(({ name }) => name));
  const groups = together(starts).filter(
    (group) => new Set(group.map(({ name }) => name)).size >= names.size * LEAST_PART,
  );
  const begins = groups.map(([first]) => first?.time ?? 0);
  return begins.map((from, at) => {
    const until = begins[at + 1] ?? Infinity;
    const part = ordered.filter(({ time }) => time >= from && time < until);
    return { ...describe(part, from, names.size), ended: restarted(part, from, until) };
  });
}

/** Groups of starts that follow each other soon. */
function together(starts: readonly LogLine[]): LogLine[][] {
  const groups: LogLine[][] = [];
  for (const start of starts) {
    const group = groups.at(-1);
    const begun = group?.[0]?.time ?? -Infinity;
    if (group !== undefined && start.time - begun < TOGETHER_MS) group.push(start);
    else groups.push([start]);
  }
  return groups;
}

function describe(lines: readonly LogLine[], at: number, controls: number): Omit<ControlReturn, 'ended'> {
  const of = (id: number): LogLine[] => lines.filter(({ event }) => event === id);
  const after = (id: number): number | undefined => {
    const [first] = of(id);
    return first === undefined ? undefined : first.time - at;
  };
  const quorumMs = after(eventIds.inContact);
  const opened = of(eventIds.streamOpened);
  const stalls = of(eventIds.stalled).filter(isOfControl);
  const memory = of(eventIds.memoryPeak).filter(isOfControl);
  return {
    at,
    controls,
    peakMb: peaks(memory, 'residentMb'),
    anonymousPeakMb: peaks(memory, 'anonymousMb'),
    stallMs: Math.max(0, ...stalls.map(({ ms }) => ms ?? 0)),
    candidacies: tally(of(eventIds.candidacy).map(({ term }) => term ?? UNKNOWN)),
    leaders: of(eventIds.leading).length,
    stepsDown: of(eventIds.steppedDown).map((line) => stepDown(line, of(eventIds.leading))),
    quorumMs,
    entryMs: after(eventIds.confirmed),
    readMs: after(eventIds.readAnswered),
    openedBefore: opened.filter(({ time }) => time - at < (quorumMs ?? Infinity)).length,
    opened: opened.length,
    refused: tally(of(eventIds.readRefused).map(({ message }) => message ?? '')),
  };
}

function stepDown(
  { name, time, term = UNKNOWN, reason = UNKNOWN }: LogLine,
  elections: readonly LogLine[],
): StepDown {
  const elected = elections.findLast((one) => one.time <= time && one.name === name && one.term === term);
  // A candidate may win a later term before the leader of an earlier one learns of it.
  const next = elections.find((one) => one.time > (elected?.time ?? time) && one !== elected);
  return {
    name,
    term,
    reason,
    ledMs: elected === undefined ? undefined : time - elected.time,
    nextMs: next === undefined ? undefined : Math.max(0, next.time - time),
  };
}

const isOfControl = ({ role }: LogLine): boolean => role === 'control';

function peaks(lines: readonly LogLine[], field: 'residentMb' | 'anonymousMb'): Record<string, number> {
  const most: Record<string, number> = {};
  for (const { name, [field]: memory } of lines)
    if (memory !== undefined) most[name] = Math.max(most[name] ?? 0, memory);
  return most;
}

/** Each start after a process that was not asked to stop; those that belong to a return are left out. */
function restarted(lines: readonly LogLine[], from: number, until: number): string[] {
  const stopped = new Set<string>();
  const ended: string[] = [];
  for (const { event, role, name, time } of lines) {
    const key = `${role} ${name}`;
    if (event === eventIds.draining) stopped.add(key);
    if (event !== eventIds.started || stopped.delete(key)) continue;
    if (time - from >= TOGETHER_MS && until - time >= TOGETHER_MS) ended.push(key);
  }
  return ended;
}

function tally(texts: readonly string[]): Record<string, number> {
  const counts: Record<string, number> = {};
  for (const text of texts) counts[text] = (counts[text] ?? 0) + 1;
  return counts;
}
