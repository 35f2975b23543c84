/** What instances announced, put together with what the detector tells of them. */
import type { FailureDetector } from '@jasmineroute/coordination';
import { instanceFromMessage } from '../message/index.js';
import type { InstanceMessage } from '../message/index.js';
import type { Health, Instance } from '../view/index.js';

/** An announced state. */
interface AnnouncedInstance {
  readonly message: InstanceMessage;
  /** Revision of the documents in force there, from its newest beat. */
  revision: bigint;
  /** Health under which it is listed. */
  health?: Health;
}

/** The newest announced state of each name, and the list that is served. */
export class InstanceStore {
  private readonly announced = new Map<string, AnnouncedInstance>();
  private readonly listed = new Map<string, Instance>();

  constructor(private readonly detector: FailureDetector) {}

  /** Instances by name, with their health. */
  current(): ReadonlyMap<string, Instance> {
    return this.listed;
  }

  /** The same with the revision that each last reported. */
  reported(): Instance[] {
    return [...this.listed.values()].map((instance) => ({
      ...instance,
      revision: this.announced.get(instance.name)?.revision ?? 0n,
    }));
  }

  /** The state announced by a name, as it was announced. */
  message(name: string): InstanceMessage | undefined {
    return this.announced.get(name)?.message;
  }

  /** Whether the state of this incarnation and sequence is known. */
  knows({ name, incarnation, sequence }: InstanceMessage): boolean {
    const known = this.announced.get(name)?.message;
    return known?.incarnation === incarnation && known.sequence === sequence;
  }

  /** Takes a state unless a newer one is known. Returns whether it was taken. */
  take(message: InstanceMessage): boolean {
    const known = this.announced.get(message.name)?.message;
    if (known !== undefined && !isNewer(message, known)) return false;
    this.announced.set(message.name, { message, revision: message.revision });
    return true;
  }

  /** Notes the revision in force at an instance. Not a change to others: it would go to every watcher. */
  noteRevision(name: string, revision: bigint): void {
    const known = this.announced.get(name);
    if (known !== undefined) known.revision = revision;
  }

  /** Lists a name anew, or no more when the detector has forgotten it. Returns whether the list changed. */
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
