/** The state that a process announces about itself. */
import { create } from '@bufbuild/protobuf';
import { controlMessage } from '@jasmineroute/protocol';
import { roleToMessage, targetToMessage } from '../message/index.js';
import type { Role, Target } from '../view/index.js';

/** Announced state of a process, read before each heartbeat. */
export interface Announcement {
  /** host:port of its RPC server. */
  readonly address: string;
  readonly dataCentre: string;
  /** Agents only. */
  readonly target?: Target;
}

/** Identity of the announcing process. */
export interface Announcer {
  readonly name: string;
  readonly incarnation: bigint;
  readonly role: Role;
}

/** The announced state with its sequence number, which increases with every change. */
export class AnnouncedState {
  private sequence = 1n;
  private leaving = false;
  private lastText = '';

  constructor(
    private readonly announcer: Announcer,
    private readonly self: () => Announcement,
  ) {}

  /** Sequence number of the current state. */
  currentSequence(): bigint {
    const text = JSON.stringify(this.self());
    if (this.lastText !== '' && text !== this.lastText) this.sequence += 1n;
    this.lastText = text;
    return this.sequence;
  }

  /** Marks the process as leaving. Cannot be undone for this incarnation. */
  leave(): void {
    if (this.leaving) return;
    this.leaving = true;
    this.sequence += 1n;
  }

  /** Builds a heartbeat with the full state, or with only the identity and the number of an unchanged state. */
  heartbeat(full: boolean, revision: bigint): controlMessage.BeatRequest {
    const { name, incarnation, role } = this.announcer;
    const sequence = this.currentSequence();
    const { ALIVE, LEAVING } = controlMessage.Health;
    const instance = create(controlMessage.InstanceSchema, {
      name,
      incarnation,
      sequence,
      revision,
      health: this.leaving ? LEAVING : ALIVE,
    });
    if (!full) return create(controlMessage.BeatRequestSchema, { instance });
    const { address, dataCentre, target } = this.self();
    instance.role = roleToMessage(role);
    instance.address = address;
    instance.dataCentre = dataCentre;
    instance.target = target === undefined ? undefined : targetToMessage(target);
    return create(controlMessage.BeatRequestSchema, { instance, full: true });
  }
}
