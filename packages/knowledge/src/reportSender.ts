/** Sends reports to one control instance, which tells them to others. */
import { ReportStream } from './reportStream.js';
import type { Report } from './reportStream.js';
import { Teller } from './teller.js';
import type { TellerParts, Telling } from './teller.js';

/** What a sender works with. */
export interface ReportSenderParts extends TellerParts {
  /**
   * Whether it stays with the instance that takes its reports when one that comes before it is back. For reports of
   * changes, moving costs all that they rest upon; what many processes tell is told on in fewest events by one instance.
   */
  readonly stays: boolean;
}

/**
 * Reports go over one stream that stays open. A call for each costs its two ends some three times as much processor
 * time as a message of a stream (3 to 4 ms and 0.9 ms, 25 ms apart, measured on one machine): a process beside a target
 * reports some ten times a second, an entry up to forty times, and a control instance takes them all.
 */
export class ReportSender {
  private stream: ReportStream | undefined;
  private isClosed = false;
  private choosing: Promise<ReportStream | undefined> | undefined;
  private readonly teller: Teller;

  constructor(private readonly parts: ReportSenderParts) {
    this.teller = new Teller(parts);
  }

  /**
   * Sends a report, which may depend on what its stream was sent before.
   * @returns the stream that took it; undefined while no control instance takes any.
   */
  async send(reportFor: (stream: ReportStream) => Report): Promise<ReportStream | undefined> {
    const stream = await this.current();
    stream?.send(reportFor(stream));
    return stream;
  }

  /** Ends the stream; what is sent afterwards goes nowhere. */
  close(): void {
    this.isClosed = true;
    this.stream?.end();
  }

  private current(): Promise<ReportStream | undefined> {
    const { controls, stays } = this.parts;
    const { stream } = this;
    if (this.isClosed) return Promise.resolve(undefined);
    const isChosen = stream?.isOpen === true && (stays || stream.address === controls()[0]);
    if (isChosen) return Promise.resolve(stream);
    this.choosing ??= this.choose().finally(() => {
      this.choosing = undefined;
    });
    return this.choosing;
  }

  /** The first control instance that takes reports. */
  private async choose(): Promise<ReportStream | undefined> {
    const preferred = this.parts.stays ? this.stream?.address : undefined;
    const address = await this.teller.tell(this.open, preferred);
    return address === undefined ? undefined : this.stream;
  }

  private readonly open: Telling = async (client, _options, address) => {
    if (this.stream?.isOpen === true && this.stream.address === address) return;
    const opened = new ReportStream({ ...this.parts, address });
    await opened.open(client);
    this.stream?.finish();
    this.stream = opened;
  };
}
