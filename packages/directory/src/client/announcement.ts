/** What a process says of itself. */
import { create } from '@bufbuild/protobuf';
import { controlMessage } from '@jasmineroute/protocol';
import { roleToMessage, targetToMessage } from '../message/index.js';
import type { Role, Target } from '../view/index.js';

/** What a process announces; asked for anew before each beat. */
export interface Announcement {
  /** host:port of its interface to the system. */
  readonly address: string;
  readonly dataCentre: string;
  /** Agents only. */
  readonly target?: Target;
}

/** Who announces. */
export interface Announcer {
  readonly name: string;
  readonly incarnation: bigint;
  readonly role: Role;
}

/** The announced state with its order number, which grows when the state changes. */
export class AnnouncedState {
  private sequence = 1n;
  private leaving = false;
  private last = '';

  constructor(
    private readonly announcer: Announcer,
    private readonly self: () => Announcement,
  ) {}

  /** Order number of the state as it is now. */
  current(): bigint {
    const text = JSON.stringify(this.self());
    if (this.last !== '' && text !== this.last) this.sequence += 1n;
    this.last = text;
    return this.sequence;
  }

  /** From now on the process is leaving; there is no way back for this incarnation. */
  leave(): void {
    if (this.leaving) return;
    this.leaving = true;
    this.sequence += 1n;
  }

  /** A beat: the whole state, or only who it is and that the state is unchanged. */
  beat(full: boolean, revision: bigint): controlMessage.BeatRequest {
    const { name, incarnation, role } = this.announcer;
    const sequence = this.current();
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
