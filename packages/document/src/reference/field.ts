/** Lists the fields of a schema, as its JSON schema gives them. */
import * as z from 'zod';

/** The parts of a JSON schema that the reference shows. */
interface JsonSchema {
  readonly type?: string;
  readonly title?: string;
  readonly description?: string;
  readonly default?: unknown;
  readonly const?: string;
  readonly enum?: readonly unknown[];
  readonly minimum?: number;
  readonly exclusiveMinimum?: number;
  readonly maximum?: number;
  readonly minItems?: number;
  readonly maxItems?: number;
  readonly properties?: Readonly<Record<string, JsonSchema>>;
  readonly required?: readonly string[];
  readonly items?: JsonSchema;
  readonly additionalProperties?: JsonSchema | boolean;
}

/** One field. */
export interface Field {
  /** "customers[].limits.burst". */
  readonly path: string;
  readonly type: string;
  /** As it would be written; "required" or "none" where there is none. */
  readonly default: string;
  readonly meaning: string;
}

/** All fields of a schema, outer ones before those inside them. */
export function fieldsOf(schema: z.ZodType): Field[] {
  return fieldsIn('', z.toJSONSchema(schema, { io: 'input' }) as JsonSchema);
}

function fieldsIn(prefix: string, schema: JsonSchema): Field[] {
  const { properties = {}, required = [] } = schema;
  return Object.entries(properties).flatMap(([key, field]) => {
    const path = prefix + key;
    return [describe(path, field, required.includes(key)), ...inside(path, field)];
  });
}

/** Fields of a map, or of the maps in a list. */
function inside(path: string, schema: JsonSchema): Field[] {
  if (schema.items !== undefined) return fieldsIn(`${path}[].`, schema.items);
  return fieldsIn(`${path}.`, schema);
}

function describe(path: string, schema: JsonSchema, required: boolean): Field {
  return {
    path,
    type: typeText(schema),
    default: required ? 'required' : defaultText(schema),
    meaning: schema.description ?? '',
  };
}

function defaultText({ default: value }: JsonSchema): string {
  if (value === undefined) return 'none';
  const nested = typeof value === 'object' && value !== null && Object.keys(value).length === 0;
  if (nested) return Array.isArray(value) ? '`[]`' : 'see its fields';
  return `\`${typeof value === 'string' ? value : JSON.stringify(value)}\``;
}

function typeText(schema: JsonSchema): string {
  if (schema.const !== undefined) return `\`${schema.const}\``;
  if (schema.enum !== undefined) return schema.enum.map((value) => `\`${String(value)}\``).join(', ');
  if (schema.items !== undefined)
    return `list of ${itemText(schema.items)}${bounds(schema.minItems, schema.maxItems)}`;
  if (typeof schema.additionalProperties === 'object') {
    return `map of names to ${typeText(schema.additionalProperties)}`;
  }
  return scalarText(schema);
}

function itemText(schema: JsonSchema): string {
  return schema.type === 'object' ? 'maps' : typeText(schema);
}

const scalarNames: Readonly<Record<string, string>> = {
  string: 'text',
  number: 'number',
  integer: 'whole number',
  boolean: '`true` or `false`',
  object: 'map',
};

function scalarText(schema: JsonSchema): string {
  const name = schema.title ?? scalarNames[schema.type ?? ''] ?? 'value';
  if (schema.exclusiveMinimum !== undefined) {
    return `${name}, above ${schema.exclusiveMinimum}${upTo(schema.maximum)}`;
  }
  return name + bounds(schema.minimum, schema.maximum);
}

function bounds(least?: number, most?: number): string {
  const from = least === undefined || least === 0 ? '' : `, at least ${least}`;
  return from + upTo(most);
}

function upTo(most?: number): string {
  return most === undefined || most === Number.MAX_SAFE_INTEGER ? '' : `, at most ${most}`;
}
