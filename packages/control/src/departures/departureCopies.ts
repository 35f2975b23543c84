/** Copies of departures at the other control instances. */
import { Code, ConnectError, createClient } from '@connectrpc/connect';
import { afterActive } from '@jasmineroute/core';
import type { Clock, Log } from '@jasmineroute/core';
import { controlMessage } from '@jasmineroute/protocol';
import type { Peers } from '@jasmineroute/protocol';
import { controlEvents } from '../events.js';
import type { CommandLog } from '../log/index.js';

/** Time within which a majority of the voters has to hold a departure, milliseconds: targets wait a second for the answer to a call. */
const COPY_TIMEOUT_MS = 700;

/** What copies are made with. */
export interface DepartureCopiesParts {
  /** Name of this instance. */
  readonly name: string;
  readonly commandLog: CommandLog;
  readonly peers: Peers;
  readonly clock: Clock;
  readonly log: Log;
}

/** Sends departures to the other members. */
export class DepartureCopies {
  constructor(private readonly parts: DepartureCopiesParts) {}

  /**
   * Sends a departure to all members, and waits until a majority of the voters holds it: any disks that may be lost at once
   * leave one copy. Learners don't count, as one that is gone for good may stay a learner.
   * @param stored whether this instance has stored it.
   * @returns whether a majority of the voters held it in time.
   */
  async spread(departure: controlMessage.Departure, stored: Promise<boolean>): Promise<boolean> {
    const { name, commandLog, clock } = this.parts;
    const members = commandLog.members();
    const voters = new Set(commandLog.voters().map((voter) => voter.name));
    const others = members.filter((member) => member.name !== name);
    const sent = others.map((other) => ({ name: other.name, copy: this.send(other.address, departure) }));
    const held = [{ name, copy: stored }, ...sent].filter((one) => voters.has(one.name));
    const copies = held.map(({ copy }) => copy);
    const needed = Math.floor(voters.size / 2) + 1;
    let cancel = (): void => undefined;
    // Copies that were stored during a stall of this process are read only after it.
    const late = new Promise<boolean>((resolve) => {
      cancel = afterActive(clock, COPY_TIMEOUT_MS, () => {
        resolve(false);
      });
    });
    return Promise.race([majorityOf(copies, needed), late]).finally(() => {
      cancel();
    });
  }

  /** Sends a departure to an instance. @returns whether that has stored it. */
  private async send(address: string, departure: controlMessage.Departure): Promise<boolean> {
    const client = createClient(controlMessage.Departures, this.parts.peers.transport(address));
    const late = new AbortController();
    const cancel = afterActive(this.parts.clock, COPY_TIMEOUT_MS, () => {
      late.abort();
    });
    try {
      const request = { departures: [departure] };
      return (await client.record(request, { signal: late.signal })).stored;
    } catch (error) {
      // An instance of an older release keeps no departures; waiting for it would refuse every leave until it is replaced.
      if (ConnectError.from(error).code === Code.Unimplemented) return true;
      this.parts.log.event(controlEvents.departureNotCopied, { address, problem: String(error) });
      return false;
    } finally {
      cancel();
    }
  }
}

/** Whether so many of the promises resolve with true, as soon as that is certain. */
function majorityOf(copies: readonly Promise<boolean>[], needed: number): Promise<boolean> {
  return new Promise((resolve) => {
    let stored = 0;
    let open = copies.length;
    for (const copy of copies)
      void copy.then((isStored) => {
        open -= 1;
        if (isStored) stored += 1;
        if (stored >= needed) resolve(true);
        else if (stored + open < needed) resolve(false);
      });
  });
}
