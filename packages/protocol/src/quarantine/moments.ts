/** Crashes that have one cause as they happened at the same moment, such as a loss of power. */
import type { CrashEvidence } from '../gen/jasmineroute/control_pb.js';

/** The name of a pair of starts that ended at the same moment. */
export const togetherPair = (earlier: string, later: string): string => `${earlier} ${later}`;

/** Groups starts by the moment at which they ended. */
export class Moments {
  /** For each start that ended together with others one of these, up to the one that names the moment. */
  private readonly links = new Map<string, string>();

  constructor(all: readonly CrashEvidence[]) {
    const pairs = new Set(all.flatMap(({ together }) => together));
    for (const pair of pairs) {
      const [earlier = '', later = ''] = pair.split(' ');
      this.join(earlier, later);
    }
  }

  /** The name of the moment at which a start ended. */
  of(start: string): string {
    let name = start;
    for (let next = this.links.get(name); next !== undefined; next = this.links.get(name)) name = next;
    return name;
  }

  /** The moments at which starts ended, each once. */
  ofAll(starts: readonly string[]): string[] {
    return [...new Set(starts.map((start) => this.of(start)))];
  }

  private join(one: string, other: string): void {
    const name = this.of(one);
    const otherName = this.of(other);
    if (name !== otherName) this.links.set(otherName, name);
  }
}
