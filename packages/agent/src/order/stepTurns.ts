/** The turns that a step needs before it may be executed. */
import type { Clock } from '@jasmineroute/core';
import type { View } from '@jasmineroute/directory';
import type { Step } from './step.js';
import { Turn } from './turn.js';
import type { TurnSource } from './turn.js';

/** Dependencies for taking the turns of a step. */
export interface StepTurnsOptions {
  readonly service: string;
  /** Name and incarnation of this agent. */
  readonly name: string;
  readonly incarnation: bigint;
  readonly turns: TurnSource;
  readonly view: () => View;
  readonly clock: Clock;
  /** Number of other targets that accept runs for a model's version, found by probing them. */
  readonly countOthersServing: (model: string, version: string) => Promise<number>;
}

/** The turns held for a step. */
export interface HeldTurns {
  readonly all: readonly Turn[];
  /** The exclusive right to order this target; its fence is sent with the order. */
  readonly targetTurn: Turn;
}

/** Number of other targets with the new weights from which on targets may replace theirs concurrently. */
const MIN_OTHER_SERVERS = 2;

/** Takes the turns for steps. */
export class StepTurns {
  constructor(private readonly options: StepTurnsOptions) {}

  /** Takes all turns for a step or none. Those most likely to be held by others come first. */
  async take(step: Step): Promise<HeldTurns | undefined> {
    const { service, name } = this.options;
    const held: Turn[] = [];
    for (const [turnName, limit] of await this.sharedTurns(step)) {
      const turn = await this.takeTurn(turnName, limit);
      if (turn === undefined) return this.releaseAll(held);
      held.push(turn);
    }
    // One executor per target: the turn of a paused older process ends only after that process has seen it expire.
    const targetTurn = await this.takeTurn(`target/${service}/${name}`, 1);
    if (targetTurn === undefined) return this.releaseAll(held);
    return { all: [...held, targetTurn], targetTurn };
  }

  private async sharedTurns(step: Step): Promise<[string, number][]> {
    const { service } = this.options;
    const needed: [string, number][] = [];
    if (step.fetchesWeights) needed.push([`weights/${service}`, this.concurrentLoads()]);
    // Two targets that see each other serve the model must not both remove it.
    if (step.removedWeights !== undefined && !(await this.isWellServed(step))) {
      needed.push([`rollout/${service}/${step.model}`, 1]);
    }
    return needed;
  }

  private async releaseAll(held: readonly Turn[]): Promise<undefined> {
    for (const turn of held) await turn.release();
    return undefined;
  }

  /**
   * Whether new weights may replace old ones without the rollout turn. One other target with the new weights is
   * not enough: it may hold that turn and be about to unload. With two, one remains, as unloading takes the turn.
   */
  private async isWellServed({ model, order }: Step): Promise<boolean> {
    if (order.type !== 'load-model') return false;
    return (await this.options.countOthersServing(model, order.version)) >= MIN_OTHER_SERVERS;
  }

  private concurrentLoads(): number {
    const document = this.options.view().documents.get(this.options.service)?.document;
    return document?.kind === 'model' ? document.weights.concurrentLoads : 1;
  }

  private takeTurn(name: string, limit: number): Promise<Turn | undefined> {
    const { turns, clock, name: holder, incarnation } = this.options;
    return Turn.take(turns, clock, { name, holder, incarnation, limit });
  }
}
