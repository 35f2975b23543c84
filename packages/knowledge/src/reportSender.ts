/** Sends reports to one control instance, which relays them to others. */
import { ReportStream } from './reportStream.js';
import type { Report } from './reportStream.js';
import { FailoverClient } from './failoverClient.js';
import type { FailoverParts, ControlCall } from './failoverClient.js';

/**
 * Reports go over one long-lived stream, to the first control instance of the order that accepts it. A call for each report
 * would cost both ends several times the processor time of a message.
 */
export class ReportSender {
  private stream: ReportStream | undefined;
  private isClosed = false;
  private opening: Promise<ReportStream | undefined> | undefined;
  private readonly client: FailoverClient;

  constructor(private readonly parts: FailoverParts) {
    this.client = new FailoverClient(parts);
  }

  /** host:port of the control instance that gets the reports; undefined: none does now. */
  get address(): string | undefined {
    return this.stream?.isOpen === true ? this.stream.address : undefined;
  }

  /**
   * Sends a report, which may depend on what was sent on its stream before.
   * @returns the stream that it was sent on; undefined while no control instance accepts reports.
   */
  async send(reportFor: (stream: ReportStream) => Report): Promise<ReportStream | undefined> {
    const stream = await this.openStream();
    stream?.send(reportFor(stream));
    return stream;
  }

  /** Closes the stream; later reports are dropped. */
  close(): void {
    this.isClosed = true;
    this.stream?.end();
  }

  /** The stream that the next report is sent on; undefined while no control instance accepts reports. */
  openStream(): Promise<ReportStream | undefined> {
    const { stream } = this;
    if (this.isClosed) return Promise.resolve(undefined);
    if (stream?.isOpen === true && stream.address === this.parts.controls()[0])
      return Promise.resolve(stream);
    this.opening ??= this.connect().finally(() => {
      this.opening = undefined;
    });
    return this.opening;
  }

  /** Opens a stream to the first control instance that accepts it. */
  private async connect(): Promise<ReportStream | undefined> {
    const address = await this.client.call(this.open);
    return address === undefined ? undefined : this.stream;
  }

  private readonly open: ControlCall = async (client, _options, address) => {
    if (this.stream?.isOpen === true && this.stream.address === address) return;
    const opened = new ReportStream({ ...this.parts, address });
    await opened.open(client);
    this.stream?.drain();
    this.stream = opened;
  };
}
