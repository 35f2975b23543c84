/** Addresses that a process has learnt of: control instances, and neighbours to ask when none answers. */
import type { ControlAddresses } from '../call/index.js';
import { CONTROL_SERVICE } from '../message/index.js';
import type { View } from '../view/index.js';
import type { KeptAddresses } from './persistedView.js';

/** Neighbours that are kept in a file. */
const KEPT_NEIGHBOURS = 32;

/** Follows the view and what sources tell. */
export class KnownAddresses {
  private told: readonly string[] = [];
  private keptControls: readonly string[] = [];

  constructor(
    private readonly name: string,
    private readonly controls: ControlAddresses,
  ) {}

  /** Takes what was kept in a file. */
  restore(kept: KeptAddresses, view: View): void {
    this.told = kept.neighbours;
    this.keptControls = kept.controls;
    this.follow(view);
  }

  /** Takes the neighbours that a source told of. */
  tell(neighbours: readonly string[]): void {
    if (neighbours.length > 0) this.told = neighbours;
  }

  /** Control instances can be replaced: documents and instances say where they are now. */
  follow(view: View): void {
    const document = view.documents.get(CONTROL_SERVICE)?.document;
    const replicas = document?.kind === 'control' ? document.replicas : [];
    const found = new Map(replicas.map(({ address }) => [address, '']));
    for (const { role, address, dataCentre, health } of view.instances.values()) {
      if (role === 'control' && health !== 'down') found.set(address, dataCentre);
    }
    if (found.size === 0) for (const address of this.keptControls) found.set(address, '');
    this.controls.learn(found);
  }

  /** Entries that may serve what they know, without this process itself. */
  neighbours(view: View): string[] {
    const found = new Set(this.told);
    for (const { role, address, health, name } of view.instances.values()) {
      if (role === 'entry' && health !== 'down' && name !== this.name) found.add(address);
    }
    const own = view.instances.get(this.name)?.address;
    if (own !== undefined) found.delete(own);
    return [...found];
  }

  /** What to keep in a file. */
  toKeep(view: View): KeptAddresses {
    const controls = this.controls.order();
    return { controls, neighbours: this.neighbours(view).slice(0, KEPT_NEIGHBOURS) };
  }
}
