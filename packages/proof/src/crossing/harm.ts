/** What is done to the links between entries, agents and engines while many callers read. */
import type { FaultProxy } from '@jasmineroute/testkit';
import type { Scene } from '../fixture/index.js';

/** One fault of one link. */
export type Harm = (link: FaultProxy) => void;

/** Delays of the two kinds of lines, one way, milliseconds. */
const SHORT_DELAY_MS = 15;
const LONG_DELAY_MS = 120;

/** In this order, over and over. Odd in number, so that each meets each link in turn. */
const harms: readonly Harm[] = [
  (link) => {
    link.reset();
  },
  (link) => {
    link.set({ latencyMs: SHORT_DELAY_MS });
  },
  (link) => {
    link.blackHole();
  },
  (link) => {
    link.set({ latencyMs: LONG_DELAY_MS });
  },
  (link) => {
    link.reset();
  },
  (link) => {
    link.clear();
  },
  (link) => {
    link.blackHole(['down']);
  },
];

/** Goes through the faults, one at a time, over all links that lead to agents and engines. */
export class Harmer {
  private count = 0;
  private readonly links: readonly FaultProxy[];

  constructor(scene: Scene) {
    const members = scene.agents('lm').flatMap((agent) => [agent, scene.targetOf(agent.name)]);
    this.links = members.flatMap(({ link }) => link ?? []);
  }

  /** Faults so far. */
  get done(): number {
    return this.count;
  }

  /** Does the next one. */
  next(): void {
    const link = this.links[this.count % this.links.length];
    const harm = harms[this.count % harms.length];
    this.count += 1;
    if (link !== undefined) harm?.(link);
  }

  /** Takes lasting conditions away. */
  end(): void {
    for (const link of this.links) link.clear();
  }
}
