/** Tracks addresses of control instances, and of neighbours to watch when no control instance answers. */
import type { ControlAddresses } from '../call/index.js';
import { CONTROL_SERVICE } from '../message/index.js';
import type { View } from '../view/index.js';
import type { PersistedAddresses } from './persistedView.js';

/** Maximum number of neighbours saved to disk. */
const MAX_PERSISTED_NEIGHBOURS = 32;

/** Collects addresses from the view and from sources. */
export class KnownAddresses {
  private reportedNeighbours: readonly string[] = [];
  private persistedControls: readonly string[] = [];

  constructor(
    private readonly name: string,
    private readonly controls: ControlAddresses,
  ) {}

  /** Restores the saved addresses. */
  restore(kept: PersistedAddresses, view: View): void {
    this.reportedNeighbours = kept.neighbours;
    this.persistedControls = kept.controls;
    this.update(view);
  }

  /** Replaces the neighbours reported by a source; an empty list is ignored. */
  setNeighbours(neighbours: readonly string[]): void {
    if (neighbours.length > 0) this.reportedNeighbours = neighbours;
  }

  /** Updates the control addresses from the documents and instances of a view, as control instances can be replaced. */
  update(view: View): void {
    const document = view.documents.get(CONTROL_SERVICE)?.document;
    const replicas = document?.kind === 'control' ? document.replicas : [];
    const found = new Map(replicas.map(({ address }) => [address, '']));
    for (const { role, address, dataCentre, health } of view.instances.values()) {
      if (role === 'control' && health !== 'down') found.set(address, dataCentre);
    }
    if (found.size === 0) for (const address of this.persistedControls) found.set(address, '');
    this.controls.setDiscovered(found);
  }

  /** Addresses of entries that may serve their view, without this process itself. */
  neighbours(view: View): string[] {
    const found = new Set(this.reportedNeighbours);
    for (const { role, address, health, name } of view.instances.values()) {
      if (role === 'entry' && health !== 'down' && name !== this.name) found.add(address);
    }
    const own = view.instances.get(this.name)?.address;
    if (own !== undefined) found.delete(own);
    return [...found];
  }

  /** Addresses to save. */
  toPersist(view: View): PersistedAddresses {
    const controls = this.controls.order();
    return { controls, neighbours: this.neighbours(view).slice(0, MAX_PERSISTED_NEIGHBOURS) };
  }
}
