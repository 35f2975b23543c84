/** The turns that a step needs before it may be carried out. */
import type { Clock } from '@jasmineroute/core';
import type { View } from '@jasmineroute/directory';
import type { Step } from './step.js';
import { Turn } from './turn.js';
import type { TurnSource } from './turn.js';

/** What taking turns needs. */
export interface StepTurnsOptions {
  readonly service: string;
  /** Name and incarnation of this agent. */
  readonly name: string;
  readonly incarnation: bigint;
  readonly turns: TurnSource;
  readonly view: () => View;
  readonly clock: Clock;
  /** How many other targets accept work for a model's version, asked of them directly. */
  readonly othersServing: (model: string, version: string) => Promise<number>;
}

/** The turns for a step. */
export interface Turns {
  readonly all: readonly Turn[];
  /** The right to give this target orders; its fence goes out with them. */
  readonly lease: Turn;
}

/** Other servers of the new weights from which on targets replace theirs side by side. */
const WELL_SERVED = 2;

/** Takes turns. */
export class StepTurns {
  constructor(private readonly options: StepTurnsOptions) {}

  /** Takes all turns for a step or none; those that are most likely taken come first. */
  async take(step: Step): Promise<Turns | undefined> {
    const { service, name } = this.options;
    const held: Turn[] = [];
    for (const [turnName, limit] of await this.sharedTurns(step)) {
      const turn = await this.one(turnName, limit);
      if (turn === undefined) return this.giveBack(held);
      held.push(turn);
    }
    // One executor for each target: a paused older process keeps its turn until it must have noticed.
    const lease = await this.one(`target/${service}/${name}`, 1);
    if (lease === undefined) return this.giveBack(held);
    return { all: [...held, lease], lease };
  }

  private async sharedTurns(step: Step): Promise<[string, number][]> {
    const { service } = this.options;
    const wishes: [string, number][] = [];
    if (step.fetches) wishes.push([`weights/${service}`, this.concurrentLoads()]);
    // Two targets that each see the other serve the model must not both take it away.
    if (step.takesAway !== undefined && !(await this.wellServed(step))) {
      wishes.push([`rollout/${service}/${step.model}`, 1]);
    }
    return wishes;
  }

  private async giveBack(held: readonly Turn[]): Promise<undefined> {
    for (const turn of held) await turn.release();
    return undefined;
  }

  /**
   * Whether new weights may replace old ones without the turn of the rollout. One other server is not enough:
   * it may hold that turn and be about to unload. Of two, one stays, as unloading takes the turn.
   */
  private async wellServed({ model, order }: Step): Promise<boolean> {
    if (order.type !== 'load-model') return false;
    return (await this.options.othersServing(model, order.version)) >= WELL_SERVED;
  }

  private concurrentLoads(): number {
    const document = this.options.view().documents.get(this.options.service)?.document;
    return document?.kind === 'model' ? document.weights.concurrentLoads : 1;
  }

  private one(name: string, limit: number): Promise<Turn | undefined> {
    const { turns, clock, name: holder, incarnation } = this.options;
    return Turn.take(turns, clock, { name, holder, incarnation, limit });
  }
}
