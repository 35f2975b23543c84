/** Tells the other entries what this one has under way at targets. */
import { create } from '@bufbuild/protobuf';
import { ReportSender } from '@jasmineroute/knowledge';
import type { TellerParts } from '@jasmineroute/knowledge';
import { controlMessage } from '@jasmineroute/protocol';
import type { Backlog, PromptWork } from './backlog.js';

/**
 * Pause between two looks, milliseconds, for each eight entries: a target gets a prompt each 100 ms, and reads it in 30.
 * With more entries each tells less often, so that a control instance gets 320 calls a second at most.
 */
const LOOK_MS = 25;
const ENTRIES_AT_ONCE = 8;

/** Work that has not changed is told again after so long, milliseconds: entries believe it for 1 s. */
const REPEAT_MS = 500;

/** Work that changed by less, in all, is not told: it decides nothing. In tokens. */
const LEAST_CHANGE = 500;

/** What the reporter works with. */
export interface WorkReporterParts extends TellerParts {
  readonly name: string;
  readonly backlog: Backlog;
  /** Entries that serve now. */
  readonly entries: () => number;
}

/**
 * One control instance is told, which tells all entries. Without it each entry sees an eighth of what a target has to
 * read, and several send their prompts to one target within the time that it takes to read one.
 */
export class WorkReporter {
  private readonly stopped = new AbortController();
  private told = new Map<string, number>();
  private toldAt = Number.NEGATIVE_INFINITY;
  private readonly sender: ReportSender;

  constructor(private readonly parts: WorkReporterParts) {
    this.sender = new ReportSender(parts);
  }

  /** Runs until `stop`. */
  async run(): Promise<void> {
    const { clock, entries } = this.parts;
    const { signal } = this.stopped;
    while (!signal.aborted) {
      await this.look();
      const pauseMs = LOOK_MS * Math.ceil(entries() / ENTRIES_AT_ONCE);
      await clock.sleep(pauseMs, signal).catch(() => undefined);
    }
  }

  stop(): void {
    this.stopped.abort();
    this.sender.close();
  }

  private async look(): Promise<void> {
    const { name, backlog, clock } = this.parts;
    const work = backlog.ownWork();
    const now = clock.monotonic();
    const isOld = now - this.toldAt >= REPEAT_MS && work.length > 0;
    if (!isOld && changeOf(this.told, work) < LEAST_CHANGE) return;
    const value = create(controlMessage.EntryWorkSchema, { entry: name, targets: work });
    const taken = await this.sender.send(() => ({ case: 'work', value }));
    if (taken === undefined) return;
    this.told = new Map(work.map(({ targetId, tokens }) => [targetId, tokens]));
    this.toldAt = now;
  }
}

/** Tokens by which work differs from what was told, over all targets. */
function changeOf(told: ReadonlyMap<string, number>, work: readonly PromptWork[]): number {
  const now = new Map(work.map(({ targetId, tokens }) => [targetId, tokens]));
  const ids = new Set([...told.keys(), ...now.keys()]);
  return [...ids].reduce((sum, id) => sum + Math.abs((now.get(id) ?? 0) - (told.get(id) ?? 0)), 0);
}
