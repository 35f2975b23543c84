/** Checks of documents against each other. */
import type { Path, Problem } from '../parse/index.js';
import { pathText } from '../parse/index.js';
import type { Document, ModelService, PlainService } from '../schema/index.js';

/** A value that only one holder may have, and where it stands. */
interface Use {
  readonly value: string;
  /** Who has it: uses by the same holder don't clash. */
  readonly holder: string;
  readonly service: string;
  readonly path: Path;
}

type Kind = 'model' | 'route' | 'key';

/** A use of a value that is taken already. */
interface Clash {
  readonly kind: Kind;
  readonly use: Use;
  readonly first: Use;
}

const messages: Readonly<Record<Kind, (use: Use, first: Use) => string>> = {
  model: (use, first) => `${use.value} is already a model of ${first.service}`,
  route: (_use, first) => `is already a route of ${first.service}`,
  // Names no hash: a reader of the message could look for its owner.
  key: (_use, first) => `is already the key of ${first.holder} in ${first.service}`,
};

/**
 * Conflicts between documents that are in force together: a model or a route that two services claim, and
 * keys that name two customers or two operators.
 * @returns one problem for each clash, its path starting with the service; lines are 0.
 */
export function checkTogether(documents: ReadonlyMap<string, Document>): Problem[] {
  const sorted = [...documents.values()].sort((a, b) => (a.service < b.service ? -1 : 1));
  return clashesOf(sorted).map((clash) => problemOf([clash.use.service, ...clash.use.path], clash));
}

/**
 * Conflicts that a document would bring among others; an earlier version of it there is left out.
 * @returns one problem for each clash, its path inside the document; lines are 0.
 */
export function checkAgainst(document: Document, others: ReadonlyMap<string, Document>): Problem[] {
  const rest = [...others.values()]
    .filter(({ service }) => service !== document.service)
    .sort((a, b) => (a.service < b.service ? -1 : 1));
  return clashesOf([...rest, document])
    .filter(({ use }) => use.service === document.service)
    .map((clash) => problemOf(clash.use.path, clash));
}

function clashesOf(documents: readonly Document[]): Clash[] {
  return [
    ...clashes('model', documents.filter(isModel).flatMap(modelUses)),
    ...clashes('route', documents.filter(isPlain).flatMap(routeUses)),
    ...clashes('key', documents.flatMap(keyUses)),
  ];
}

function clashes(kind: Kind, uses: readonly Use[]): Clash[] {
  const firsts = new Map<string, Use>();
  return uses.flatMap((use) => {
    const first = firsts.get(use.value) ?? use;
    firsts.set(use.value, first);
    return first.holder === use.holder ? [] : [{ kind, use, first }];
  });
}

function problemOf(path: Path, { kind, use, first }: Clash): Problem {
  return { path: pathText(path), line: 0, message: messages[kind](use, first) };
}

function isModel(document: Document): document is ModelService {
  return document.kind === 'model';
}

function isPlain(document: Document): document is PlainService {
  return document.kind === 'plain';
}

function modelUses({ service, models }: ModelService): Use[] {
  return models.map((model, index) => ({
    value: model.name,
    holder: service,
    service,
    path: ['models', index, 'name'],
  }));
}

function routeUses({ service, routes }: PlainService): Use[] {
  return routes.map((route, index) => ({
    value: `${route.host ?? ''} ${route.path ?? ''}`,
    holder: service,
    service,
    path: ['routes', index],
  }));
}

function keyUses(document: Document): Use[] {
  const { service, owner } = document;
  const operators = Object.entries(owner.operators).map(([name, value]) => ({
    value,
    holder: `operator ${name} of ${owner.team}`,
    service,
    path: ['owner', 'operators', name],
  }));
  if (document.kind === 'control') return operators;
  const customers = document.customers.flatMap((customer, index) =>
    customer.keys.map((value, key) => ({
      value,
      holder: `customer ${customer.name}`,
      service,
      path: ['customers', index, 'keys', key],
    })),
  );
  return [...operators, ...customers];
}
