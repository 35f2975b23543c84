/** Finds the plain service of a request by host and path. */
import { compareCloseness, matchesPattern, readPath, segmentsOf } from '../pattern/index.js';
import type { Document, PlainService, Route } from '../schema/index.js';

/** First segments of the paths that the system answers itself, whatever documents say. */
export const RESERVED_SEGMENTS: readonly string[] = ['v1', 'healthz', 'readyz'];

interface Entry {
  readonly service: PlainService;
  readonly host: string | undefined;
  readonly pattern: readonly string[];
}

/** Routes of all plain services, closest first. Build one for each set of documents. */
export class RouteTable {
  private readonly entries: readonly Entry[];

  constructor(documents: Iterable<Document>) {
    this.entries = [...documents].filter(isPlain).flatMap(entriesOf).sort(compareEntries);
  }

  /**
   * The service of a request.
   * @param host value of `Host`, with or without a port
   * @param path path as the caller sent it; a query is ignored
   */
  match(host: string | undefined, path: string): PlainService | undefined {
    const segments = readPath(path);
    if (segments === undefined || RESERVED_SEGMENTS.includes(segments[0] ?? '')) return undefined;
    const name = hostName(host);
    const entry = this.entries.find((candidate) => covers(candidate, name, segments));
    return entry?.service;
  }
}

/** The plain service that a host and a path name, or undefined. Callers with many requests keep a RouteTable. */
export function matchRoute(
  documents: ReadonlyMap<string, Document>,
  host: string | undefined,
  path: string,
): PlainService | undefined {
  return new RouteTable(documents.values()).match(host, path);
}

function isPlain(document: Document): document is PlainService {
  return document.kind === 'plain';
}

function entriesOf(service: PlainService): Entry[] {
  return service.routes.map((route) => ({ service, host: route.host, pattern: patternOf(route) }));
}

function patternOf(route: Route): string[] {
  return segmentsOf(route.path ?? '/**');
}

function compareEntries(a: Entry, b: Entry): number {
  const byHost = Number(a.host === undefined) - Number(b.host === undefined);
  if (byHost !== 0) return byHost;
  const byPath = compareCloseness(a.pattern, b.pattern);
  if (byPath !== 0) return byPath;
  return a.service.service < b.service.service ? -1 : 1;
}

function covers(entry: Entry, host: string | undefined, path: readonly string[]): boolean {
  if (entry.host !== undefined && entry.host !== host) return false;
  return matchesPattern(entry.pattern, path);
}

function hostName(host: string | undefined): string | undefined {
  return host?.toLowerCase().replace(/:\d+$/, '').replace(/\.$/, '');
}
