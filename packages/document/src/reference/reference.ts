/** The reference of documents, from the schema. */
import { documentKinds } from '../schema/index.js';
import type { DocumentKind } from '../schema/index.js';
import { fieldsOf } from './field.js';
import type { Field } from './field.js';

const INTRODUCTION = `A document is YAML text. Fields that are not listed here are faults, and so are two fields of the same
name. \`a[].b\` is field \`b\` of each item in the list \`a\`.

- **name**: lower-case letters, digits, \`.\`, \`_\` and \`-\`, up to 64 of them.
- **duration**: a number with \`ms\`, \`s\`, \`m\`, \`h\` or \`d\`: \`250ms\`, \`30s\`, \`24h\`.
- **key hash**: \`sha256:\` and 64 hexadecimal digits, as \`jasminectl hash-key\` prints it.
- **path pattern**: a path in which \`*\` stands for one segment and a last \`**\` for the rest.
`;

const titles: Readonly<Record<DocumentKind, string>> = {
  model: '`kind: model`: a pool of model engines',
  plain: '`kind: plain`: an HTTP service without a model',
  control: '`kind: control`: the system itself',
};

/** All fields of all kinds of documents with type, default and meaning, as Markdown with headings of level 3. */
export function documentReference(): string {
  const model = fieldsOf(documentKinds.model);
  const plain = fieldsOf(documentKinds.plain);
  const common = model.filter((field) => holds(plain, field));
  const sections = [
    INTRODUCTION,
    section('Fields of model and plain services', common),
    section(titles.model, without(model, common)),
    section(titles.plain, without(plain, common)),
    section(titles.control, fieldsOf(documentKinds.control)),
  ];
  return sections.join('\n');
}

function holds(fields: readonly Field[], field: Field): boolean {
  return fields.some((candidate) => JSON.stringify(candidate) === JSON.stringify(field));
}

function without(fields: readonly Field[], left: readonly Field[]): Field[] {
  return fields.filter((field) => !holds(left, field));
}

function section(title: string, fields: readonly Field[]): string {
  const rows = fields.map(
    ({ path, type, default: value, meaning }) => `| \`${path}\` | ${type} | ${value} | ${meaning} |`,
  );
  return [
    `### ${title}`,
    '',
    '| Field | Type | Default | Meaning |',
    '| --- | --- | --- | --- |',
    ...rows,
    '',
  ].join('\n');
}
