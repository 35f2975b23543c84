/** Departures of targets that are known here, in memory and on the disk. */
import { create } from '@bufbuild/protobuf';
import { controlMessage, startId, startOf } from '@jasmineroute/protocol';
import type { TargetStart } from '@jasmineroute/protocol';
import type { RecordFiles } from '../files/index.js';

const { Announcement, AnnouncedTargetSchema } = controlMessage;

/** Maximum number of departures: more than targets leave within the time for which each is kept. */
const MAX_DEPARTURES = 10_000;

/** Records appended to a file before the next one begins. */
const MAX_FILE_RECORDS = 10 * MAX_DEPARTURES;

type Departure = controlMessage.Departure;

/** The start that a departure is of. */
export const departedStart = ({ name, born }: Departure): TargetStart =>
  startOf(create(AnnouncedTargetSchema, { id: name, name, born }));

/** Id of the start that a departure is of. */
export const departureId = (departure: Departure): string => startId(departedStart(departure));

/** Holds departures. They are final, so each copy of one is valid by itself. */
export class DepartureStore {
  private readonly departures = new Map<string, Departure>();
  private written = 0;

  /** @param files where they are stored; undefined without a disk. */
  constructor(private readonly files?: RecordFiles<Departure>) {
    files?.beginWith(() => this.all());
  }

  /** Reads what the disk holds. */
  async open(): Promise<void> {
    for (const departure of (await this.files?.load()) ?? []) this.keep(departure);
    this.written = this.departures.size;
  }

  /** All departures, the oldest first. */
  all(): Departure[] {
    return [...this.departures.values()];
  }

  /** Stores departures. @returns whether they survive a loss of power. */
  async store(departures: readonly Departure[]): Promise<boolean> {
    for (const departure of departures) this.keep(departure);
    if (this.written + departures.length > MAX_FILE_RECORDS) {
      this.files?.roll();
      this.written = this.departures.size;
    }
    this.written += departures.length;
    return (await this.files?.store(departures)) ?? false;
  }

  /** Removes the departure of a start that was not heard of for long, so that its id may be used again. */
  remove(start: TargetStart): void {
    const departure = this.departures.get(startId(start));
    if (departure === undefined) return;
    void this.store([{ ...departure, announcement: Announcement.UNSPECIFIED }]);
  }

  /** Writes what is pending. */
  async close(): Promise<void> {
    await this.files?.close();
  }

  private keep(departure: Departure): void {
    const id = departureId(departure);
    this.departures.delete(id);
    if (departure.announcement === Announcement.UNSPECIFIED) return;
    this.departures.set(id, departure);
    const [oldest] = this.departures.keys();
    if (this.departures.size > MAX_DEPARTURES && oldest !== undefined) this.departures.delete(oldest);
  }
}
