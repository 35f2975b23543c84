import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { hashKey } from '../customer/index.js';
import { locateProblems, parseDocument } from './parse.js';
import { problemText } from './problem.js';

const operator = hashKey('operator');

const lines = (...parts: string[]): string => `${parts.join('\n')}\n`;

const plain = lines(
  'kind: plain',
  'service: desk',
  `owner: { team: desk, operators: { lead: "${operator}" } }`,
  'routes: [{ path: /desk/** }]',
);

const faults = (text: string): string[] =>
  parseDocument(text).match(
    () => [],
    (problems) => problems.map(problemText),
  );

describe('parseDocument', () => {
  it('fills in defaults, with durations in milliseconds', () => {
    const document = parseDocument(plain)._unsafeUnwrap();
    expect(document).toMatchObject({
      deadlines: { default: 60_000, max: 600_000 },
      limits: { bodyBytes: 4 * 1024 * 1024, queue: 256 },
      claims: { window: 86_400_000, answerBytes: 65_536 },
      priorities: [{ name: 'normal', level: 50 }],
      authenticated: true,
    });
  });

  it('reports every fault in one go, each with its path and line', () => {
    const text = lines(
      'kind: model',
      'service: Bad Name',
      'colour: red',
      'owner:',
      '  team: pool',
      '  operators:',
      '    lead: a-key-in-the-clear',
      'customers:',
      '  - name: one',
      `    keys: [${hashKey('one')}]`,
      '    priority: gold',
      '    limits: { burst: 3 }',
      '  - name: one',
      '    keys:',
      `      - ${hashKey('one')}`,
      '    share: -1',
      'models:',
      '  - name: m',
      '  - name: m',
      '    version: "1"',
      'nonIdempotent:',
      '  - models: [other]',
      '    customers: [two]',
      '    path: /a/**/b',
      'deadlines:',
      '  default: 20m',
      'claims:',
      '  window: 5m',
    );
    expect(faults(text)).toEqual([
      'line 2: service: must be lower-case letters, digits, ".", "_" and "-", 1 to 64 long, with a letter or digit at both ends',
      'line 3: colour: is not a known field',
      'line 7: owner.operators.lead: must be "sha256:" and 64 hexadecimal digits, as jasminectl hash-key prints it',
      'line 11: customers.0.priority: must name a class under priorities: normal',
      'line 12: customers.0.limits.burst: needs requestsPerSecond beside it',
      'line 13: customers.1.name: is the name of an earlier customer',
      'line 15: customers.1.keys.0: is a key that is already given above',
      'line 16: customers.1.share: must be more than 0',
      'line 18: models.0.version: is required',
      'line 19: models.1.name: is the name of an earlier model',
      'line 22: nonIdempotent.0.models.0: must name a model of the document',
      'line 23: nonIdempotent.0.customers.0: must name a customer of the document',
      'line 24: nonIdempotent.0.path: must have "**" at its end only',
      'line 26: deadlines.default: must not be above deadlines.max',
      'line 28: claims.window: must not be below deadlines.max',
    ]);
  });

  it('goes on checking when the kind is missing', () => {
    const text = plain.replace('kind: plain\n', '').replace('/desk/**', 'desk');
    expect(faults(text)).toEqual(['line 1: kind: is required', 'line 3: routes.0.path: must start with "/"']);
  });

  it.each([
    ['an empty text', '', 'line 1: must be a map of fields'],
    ['a list', '- 1', 'line 1: must be a map of fields'],
    [
      'broken syntax',
      'a: 1\nb: [1',
      'line 2: Flow sequence in block collection must be sufficiently indented and end with a ]',
    ],
    ['an alias to nothing', 'a: 1\nb: *x', 'line 2: there is no anchor &x'],
    [
      'two documents',
      'a: 1\n---\nb: 1',
      'line 2: must be one YAML document, without a second one after "---"',
    ],
    ['a field given twice', `${plain}service: desk`, 'line 5: the same field is given twice'],
    [
      'a reserved route',
      plain.replace('/desk/**', '/v1/**'),
      'line 4: routes.0.path: must not start with /v1, /healthz, /readyz, which the system answers',
    ],
    [
      'a route without place',
      plain.replace('path: /desk/**', ''),
      'line 4: routes.0: must have a path or a host',
    ],
    [
      'the name of the system',
      plain.replace('service: desk', 'service: control'),
      'line 2: service: must not be "control", which names the system itself',
    ],
    ['a prototype', `${plain}__proto__: { colour: red }`, 'line 5: __proto__: is not a known field'],
  ])('reports %s', (_name, text, fault) => {
    expect(faults(text)).toEqual([fault]);
  });

  it('survives aliases that would fill the memory', () => {
    // Symptom: the process that checks a document runs out of memory.
    // Sequence: each line holds nine aliases to the line before; ten lines stand for billions of nodes.
    // Cause: aliases were expanded without a bound.
    const nested = Array.from(
      { length: 10 },
      (_, n) => `l${n + 1}: &l${n + 1} [${Array(9).fill(`*l${n}`).join(', ')}]`,
    );
    expect(faults(lines('l0: &l0 [x]', ...nested))).toEqual([
      'line 1: Excessive alias count indicates a resource exhaustion attack',
    ]);
  });

  it('never repeats a value that could be a key', () => {
    const clear = 'a-key-in-the-clear';
    const text = plain.replace(operator, clear) + `customers: [{ name: one, keys: [${clear}, ${clear}] }]`;
    expect(faults(text)).toHaveLength(5);
    expect(faults(text).join()).not.toContain(clear);
  });
});

it('finds the lines of problems that were found elsewhere', () => {
  const at = (path: string, line = 0) => ({ path, line, message: 'clashes' });
  const problems = [at('routes.0'), at('routes.0', 9), at('other.routes.0'), at('')];
  expect(locateProblems(plain, problems).map(({ line }) => line)).toEqual([4, 9, 0, 0]);
});

it('gives problems with lines for whatever the fields hold', () => {
  const field = fc.constantFrom(
    'kind',
    'owner',
    'customers',
    'routes',
    'nonIdempotent',
    'deadlines',
    'models',
  );
  const inner = fc.oneof(
    fc.jsonValue(),
    fc.array(fc.dictionary(fc.constantFrom('name', 'keys', 'limits'), fc.jsonValue())),
  );
  const base = { kind: 'plain', service: 'desk', routes: [{ path: '/desk' }] };
  fc.assert(
    fc.property(field, inner, (key, value) => {
      const problems = parseDocument(JSON.stringify({ ...base, [key]: value }))._unsafeUnwrapErr();
      expect(problems.every(({ line, message }) => line === 1 && message !== '')).toBe(true);
    }),
    { seed: 1, numRuns: 300 },
  );
});
