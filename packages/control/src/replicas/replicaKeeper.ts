/** Brings the replicas of the log to what the control document says. */
import type { Clock, Fault, Log } from '@jasmineroute/core';
import type { DocumentView } from '../documents/index.js';
import { controlEvents } from '../events.js';
import type { CommandLog, ReplicaAddress } from '../log/index.js';

/** Time between two looks, milliseconds. */
const LOOK_MS = 1_000;

/** Service of the document that says where control instances are. */
export const CONTROL_SERVICE = 'control';

/**
 * Tells the log which replicas are wanted: on every look rather than once when the document changes, as the
 * leader may be lost in the middle of a change, and on every replica, as any may lead next. One that led
 * before and still wanted an older list would otherwise begin to bring that back.
 */
export class ReplicaKeeper {
  private readonly abort = new AbortController();
  private asked = '';
  private done = '';

  constructor(
    private readonly view: DocumentView,
    private readonly log: CommandLog,
    private readonly clock: Clock,
    private readonly events: Log,
  ) {}

  /** Runs until `stop`. */
  async run(): Promise<void> {
    const { signal } = this.abort;
    for (;;) {
      this.look();
      await this.clock.sleep(LOOK_MS, signal).catch(() => undefined);
      if (signal.aborted) return;
    }
  }

  stop(): void {
    this.abort.abort();
  }

  /** Asks for what is wanted, unless that very change is under way. */
  look(): void {
    const wanted = replicasOf(this.view);
    if (wanted === undefined) return;
    const text = wanted.map(({ name, address }) => `${name}=${address}`).join(',');
    if (this.asked !== text) void this.change(wanted, text);
  }

  private async change(wanted: ReplicaAddress[], text: string): Promise<void> {
    this.asked = text;
    const changed = await this.log.changeReplicas(wanted);
    if (this.asked === text) this.asked = '';
    if (changed.isErr()) {
      if (changed.error.kind !== 'not-leader') this.report(text, changed.error);
      return;
    }
    if (this.done !== text) this.events.event(controlEvents.replicasChanged, { replicas: text });
    this.done = text;
  }

  private report(text: string, cause: Fault): void {
    this.done = '';
    this.events.event(controlEvents.replicasPending, { replicas: text, cause: cause.message });
  }
}

/** The replicas of the control document in force; undefined when there is none. */
export function replicasOf(view: DocumentView): ReplicaAddress[] | undefined {
  const found = view.find(CONTROL_SERVICE);
  return found?.kind === 'control' ? found.replicas : undefined;
}
