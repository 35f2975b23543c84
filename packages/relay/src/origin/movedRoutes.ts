/** Routes that led to other services a short time ago: a stream of theirs may have begun there. */
import { hostOf } from '@jasmineroute/configuration';
import type { Route, RoutingTable } from '@jasmineroute/configuration';
import type { Clock } from '@jasmineroute/core';

/** Time for which a change is remembered, milliseconds: control knows software versions for no longer. */
const RETENTION_MS = 120_000;

interface Move {
  readonly host: string;
  readonly pathPrefix: string;
  /** Monotonic time. */
  readonly at: number;
}

/** Services that a route leads to. */
export const servicesOf = ({ services }: Route): string[] =>
  services.filter(({ weight }) => weight > 0).map(({ service }) => service);

/** Host and prefix of a route, which no other route of a configuration shares. */
const placeOf = ({ host, pathPrefix }: Route): string => JSON.stringify([hostOf(host), pathPrefix]);

/** What routes lead to, by their places. */
function leadsOf(table: RoutingTable | undefined): Map<string, string> {
  const routes = table?.configuration.routes ?? [];
  return new Map(routes.map((route) => [placeOf(route), servicesOf(route).sort().join()]));
}

/** Compares each configuration with the one before. */
export class MovedRoutes {
  private table: RoutingTable | undefined;
  private readonly moves = new Map<string, Move>();

  constructor(private readonly clock: Clock) {}

  /** Applies the configuration that is now in force. */
  update(table: RoutingTable): void {
    const before = this.table;
    if (before?.number === table.number) return;
    this.table = table;
    if (before === undefined) return;
    this.forget();
    const [old, now] = [leadsOf(before), leadsOf(table)];
    const changed = new Set(
      [...old.keys(), ...now.keys()].filter((place) => old.get(place) !== now.get(place)),
    );
    const at = this.clock.monotonic();
    for (const place of changed) {
      const [host, pathPrefix] = JSON.parse(place) as [string, string];
      this.moves.set(place, { host, pathPrefix, at });
    }
  }

  /**
   * Whether requests for a path may have been led to other services within the last `withinMs` milliseconds.
   * @param route the route that leads them now; a shorter one has not led them before.
   */
  hasMoved({ host, pathPrefix }: Route, path: string, withinMs: number): boolean {
    const since = this.clock.monotonic() - withinMs;
    return [...this.moves.values()].some(
      (move) =>
        move.at >= since &&
        move.host === hostOf(host) &&
        move.pathPrefix.length >= pathPrefix.length &&
        path.startsWith(move.pathPrefix),
    );
  }

  private forget(): void {
    const before = this.clock.monotonic() - RETENTION_MS;
    for (const [place, { at }] of this.moves) if (at < before) this.moves.delete(place);
  }
}
