/** Combines the announced state of instances with their health from the failure detector. */
import type { FailureDetector } from '@jasmineroute/coordination';
import { instanceFromMessage } from '../message/index.js';
import type { InstanceMessage } from '../message/index.js';
import type { Health, Instance } from '../view/index.js';

/** The newest state announced by an instance. */
interface AnnouncedInstance {
  readonly message: InstanceMessage;
  /** Revision of the documents applied there, from its newest heartbeat. */
  revision: bigint;
  /** Health with which it is listed; undefined while it is not listed. */
  health?: Health;
}

/** Holds the newest announced state of each name and the list served to watchers. */
export class InstanceStore {
  private readonly announced = new Map<string, AnnouncedInstance>();
  private readonly listed = new Map<string, Instance>();

  constructor(private readonly detector: FailureDetector) {}

  /** Listed instances by name. */
  current(): ReadonlyMap<string, Instance> {
    return this.listed;
  }

  /** Listed instances with the revision that each last reported. */
  reported(): Instance[] {
    return [...this.listed.values()].map((instance) => ({
      ...instance,
      revision: this.announced.get(instance.name)?.revision ?? 0n,
    }));
  }

  /** The unchanged message last announced under a name. */
  message(name: string): InstanceMessage | undefined {
    return this.announced.get(name)?.message;
  }

  /** Whether the store holds the state of this incarnation and sequence. */
  hasState({ name, incarnation, sequence }: InstanceMessage): boolean {
    const known = this.announced.get(name)?.message;
    return known?.incarnation === incarnation && known.sequence === sequence;
  }

  /** Stores a state if it is newer than the stored one. Returns whether it was stored. */
  update(message: InstanceMessage): boolean {
    const known = this.announced.get(message.name)?.message;
    if (known !== undefined && !isNewer(message, known)) return false;
    this.announced.set(message.name, { message, revision: message.revision });
    return true;
  }

  /** Records the revision applied at an instance. Watchers are not notified, as each revision would reach them all. */
  setRevision(name: string, revision: bigint): void {
    const known = this.announced.get(name);
    if (known !== undefined) known.revision = revision;
  }

  /** Updates the list entry of a name, or removes it if the detector no longer has it. Returns whether it changed. */
  refresh(name: string): boolean {
    const member = this.detector.find(name);
    const known = this.announced.get(name);
    if (member === undefined) {
      this.announced.delete(name);
      return this.listed.delete(name);
    }
    if (known?.message.incarnation !== member.incarnation || known.health === member.liveness) return false;
    known.health = member.liveness;
    this.listed.set(name, { ...instanceFromMessage(known.message), health: member.liveness, revision: 0n });
    return true;
  }
}

function isNewer(a: InstanceMessage, b: InstanceMessage): boolean {
  if (a.incarnation !== b.incarnation) return a.incarnation > b.incarnation;
  return a.sequence > b.sequence;
}
