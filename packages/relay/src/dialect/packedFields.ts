/** Header fields in the form in which they take least memory. */

/** Fields in one text, for as long as a request is handled: as strings of their own, short ones take twenty times as much. */
export class PackedFields {
  readonly count: number;
  private readonly text: string;

  /** @param fields names and values by turns; a name may come more than once. */
  constructor(fields: readonly string[]) {
    this.count = fields.length / 2;
    this.text = JSON.stringify(fields);
  }

  /** Bytes that they take. */
  get bytes(): number {
    return this.text.length;
  }

  /** Names and values by turns, in their order. */
  unpack(): string[] {
    return JSON.parse(this.text) as string[];
  }
}
