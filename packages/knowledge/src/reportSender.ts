/** Sends reports to one control instance, which tells them to others. */
import { ReportStream } from './reportStream.js';
import type { Report } from './reportStream.js';
import { Teller } from './teller.js';
import type { TellerParts, Telling } from './teller.js';

/**
 * Reports go over one stream that stays open, to the first control instance of the order that takes them. A call for each
 * report costs its two ends several times the processor time of a message.
 */
export class ReportSender {
  private stream: ReportStream | undefined;
  private isClosed = false;
  private choosing: Promise<ReportStream | undefined> | undefined;
  private readonly teller: Teller;

  constructor(private readonly parts: TellerParts) {
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
    const { stream } = this;
    if (this.isClosed) return Promise.resolve(undefined);
    if (stream?.isOpen === true && stream.address === this.parts.controls()[0])
      return Promise.resolve(stream);
    this.choosing ??= this.choose().finally(() => {
      this.choosing = undefined;
    });
    return this.choosing;
  }

  /** The first control instance that takes reports. */
  private async choose(): Promise<ReportStream | undefined> {
    const address = await this.teller.tell(this.open);
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
