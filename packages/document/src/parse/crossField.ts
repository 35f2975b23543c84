/** Checks of one field against others in the same document. */
import { RESERVED_SEGMENTS } from '../route/index.js';
import { segmentsOf } from '../pattern/index.js';
import { duration } from '../schema/primitive.js';
import type { Path, PathFault } from './problem.js';
import { isRecord, listAt, recordAt, textAt, textsAt } from '../raw/index.js';

type Check = (data: Record<string, unknown>) => PathFault[];

const DEFAULT_PRIORITY = 'normal';

const checks: readonly Check[] = [
  checkServiceName,
  (data) => duplicates(namesOf(data, 'customers'), 'is the name of an earlier customer'),
  (data) => duplicates(namesOf(data, 'priorities'), 'is the name of an earlier priority'),
  (data) => duplicates(namesOf(data, 'models'), 'is the name of an earlier model'),
  (data) => duplicates(namesOf(data, 'replicas'), 'is the name of an earlier replica'),
  (data) => duplicates(fieldsOf(data, 'replicas', 'address'), 'is the address of an earlier replica'),
  checkAdapters,
  checkKeys,
  checkPriorities,
  checkBursts,
  checkDeadlines,
  checkRules,
  checkRoutes,
];

/** All faults between fields. The data may have any shape: what has the wrong one is left to the schema. */
export function crossFieldFaults(data: Record<string, unknown>): PathFault[] {
  return checks.flatMap((check) => check(data));
}

/** A text and where it stands. */
interface Located {
  readonly text: string;
  readonly path: Path;
}

function fieldsOf(data: unknown, list: string, field: string, prefix: Path = []): Located[] {
  return listAt(data, list).flatMap((item, index) => {
    const text = textAt(item, field);
    return text === undefined ? [] : [{ text, path: [...prefix, list, index, field] }];
  });
}

function namesOf(data: unknown, list: string): Located[] {
  return fieldsOf(data, list, 'name');
}

function duplicates(items: readonly Located[], message: string): PathFault[] {
  const seen = new Set<string>();
  return items.flatMap(({ text, path }) => {
    if (seen.has(text)) return [{ path, message }];
    seen.add(text);
    return [];
  });
}

function checkServiceName(data: Record<string, unknown>): PathFault[] {
  if (data.kind === 'control' || data.service !== 'control') return [];
  return [{ path: ['service'], message: 'must not be "control", which names the system itself' }];
}

function checkAdapters(data: Record<string, unknown>): PathFault[] {
  return listAt(data, 'models').flatMap((model, index) =>
    duplicates(
      fieldsOf(model, 'adapters', 'name', ['models', index]),
      'is the name of an earlier adapter of the model',
    ),
  );
}

/** A key names one customer or one operator: with two, whoever holds it would be taken for the other. */
function checkKeys(data: Record<string, unknown>): PathFault[] {
  const operators = Object.entries(recordAt(recordAt(data, 'owner'), 'operators'));
  const ofOperators = operators.flatMap(([name, hash]) =>
    typeof hash === 'string' ? [{ text: hash, path: ['owner', 'operators', name] }] : [],
  );
  const ofCustomers = listAt(data, 'customers').flatMap((customer, index) =>
    textsAt(customer, 'keys').map(({ text, index: key }) => ({
      text,
      path: ['customers', index, 'keys', key],
    })),
  );
  return duplicates([...ofOperators, ...ofCustomers], 'is a key that is already given above');
}

function checkPriorities(data: Record<string, unknown>): PathFault[] {
  const known = new Set(
    data.priorities === undefined ? [DEFAULT_PRIORITY] : namesOf(data, 'priorities').map(({ text }) => text),
  );
  const message = `must name a class under priorities: ${[...known].join(', ')}`;
  return listAt(data, 'customers').flatMap((customer, index) => {
    if (!isRecord(customer)) return [];
    const priority = customer.priority ?? DEFAULT_PRIORITY;
    if (typeof priority !== 'string' || known.has(priority)) return [];
    return [{ path: ['customers', index, 'priority'], message }];
  });
}

function checkBursts(data: Record<string, unknown>): PathFault[] {
  return listAt(data, 'customers').flatMap((customer, index) => {
    const limits = recordAt(customer, 'limits');
    if (limits.burst === undefined || limits.requestsPerSecond !== undefined) return [];
    return [{ path: ['customers', index, 'limits', 'burst'], message: 'needs requestsPerSecond beside it' }];
  });
}

function checkDeadlines(data: Record<string, unknown>): PathFault[] {
  const deadlines = recordAt(data, 'deadlines');
  const normal = milliseconds(deadlines.default ?? '60s');
  const longest = milliseconds(deadlines.max ?? '10m');
  const window = milliseconds(recordAt(data, 'claims').window ?? '24h');
  const faults: PathFault[] = [];
  if (normal > longest)
    faults.push({ path: ['deadlines', 'default'], message: 'must not be above deadlines.max' });
  // A key forgotten while its request may still run would let a resend run it again.
  if (window < longest)
    faults.push({ path: ['claims', 'window'], message: 'must not be below deadlines.max' });
  return faults;
}

/** NaN for what is no duration: comparisons with it are false, and the schema reports it. */
function milliseconds(value: unknown): number {
  const parsed = duration.safeParse(value);
  return parsed.success ? parsed.data : Number.NaN;
}

function checkRules(data: Record<string, unknown>): PathFault[] {
  const customers = new Set(namesOf(data, 'customers').map(({ text }) => text));
  const models = knownModels(data);
  return listAt(data, 'nonIdempotent').flatMap((rule, index) => {
    const path = ['nonIdempotent', index];
    return [
      ...unknownTexts(rule, 'customers', customers, path, 'must name a customer of the document'),
      ...unknownTexts(rule, 'models', models, path, 'must name a model of the document'),
    ];
  });
}

function knownModels(data: Record<string, unknown>): Set<string> {
  const names = listAt(data, 'models').flatMap((model) => {
    const name = textAt(model, 'name');
    if (name === undefined) return [];
    return [name, ...namesOf(model, 'adapters').map(({ text }) => `${name}:${text}`)];
  });
  return new Set(names);
}

function unknownTexts(
  rule: unknown,
  key: string,
  known: ReadonlySet<string>,
  path: Path,
  message: string,
): PathFault[] {
  return textsAt(rule, key)
    .filter(({ text }) => !known.has(text))
    .map(({ index }) => ({ path: [...path, key, index], message }));
}

function checkRoutes(data: Record<string, unknown>): PathFault[] {
  const reserved = fieldsOf(data, 'routes', 'path')
    .filter(({ text }) => RESERVED_SEGMENTS.includes(segmentsOf(text)[0] ?? ''))
    .map(({ path }) => ({
      path,
      message: `must not start with ${reservedPaths()}, which the system answers`,
    }));
  const routes = listAt(data, 'routes').map((route, index) => ({
    text: `${textAt(route, 'host') ?? ''} ${textAt(route, 'path') ?? ''}`,
    path: ['routes', index],
  }));
  return [...reserved, ...duplicates(routes, 'is the same as an earlier route')];
}

function reservedPaths(): string {
  return RESERVED_SEGMENTS.map((segment) => `/${segment}`).join(', ');
}
