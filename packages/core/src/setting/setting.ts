/** Process settings: flags, environment variables, validation and documentation are derived from one schema. */
import { Command, Option } from 'commander';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import type * as z from 'zod';

/** Prefix of the environment variables. */
export const ENVIRONMENT_PREFIX = 'JASMINEROUTE_';

/** Exit code for an invalid setting. */
export const EXIT_USAGE = 2;

/** A settings schema: an object of fields with descriptions, each with a default or required. */
export type SettingsSchema = z.ZodObject;

/** One setting with its flag and environment variable. */
export interface Setting {
  /** Key in the schema, "dataCentre". */
  readonly key: string;
  /** "--data-centre". */
  readonly flag: string;
  /** "JASMINEROUTE_DATA_CENTRE". */
  readonly variable: string;
  readonly description: string;
}

const kebab = (key: string): string => key.replace(/[A-Z]/g, (letter) => `-${letter.toLowerCase()}`);

/** Lists the settings of a schema. */
export function settingsOf(schema: SettingsSchema): Setting[] {
  return Object.entries(schema.shape).map(([key, field]) => ({
    key,
    flag: `--${kebab(key)}`,
    variable: ENVIRONMENT_PREFIX + kebab(key).replaceAll('-', '_').toUpperCase(),
    description: (field as z.ZodType).description ?? '',
  }));
}

/** Adds a schema's settings to a command as options. */
export function addOptions(command: Command, schema: SettingsSchema): Command {
  for (const setting of settingsOf(schema)) {
    command.addOption(new Option(`${setting.flag} <value>`, `${setting.description} [${setting.variable}]`));
  }
  return command;
}

/**
 * Reads settings. Flags take precedence over environment variables, and these over defaults. Values are strings, so
 * fields of other types need `z.coerce` or a transform.
 * @returns the settings, or an error in one line with the setting, its value and the allowed values.
 */
export function readSettings<S extends SettingsSchema>(
  schema: S,
  flags: Readonly<Record<string, unknown>>,
  environment: Readonly<Record<string, string | undefined>>,
): Result<z.output<S>, string> {
  const settings = settingsOf(schema);
  const raw: Record<string, unknown> = {};
  for (const setting of settings) {
    const value = flags[setting.key] ?? environment[setting.variable];
    if (value !== undefined) raw[setting.key] = value;
  }
  const parsed = schema.safeParse(raw);
  if (parsed.success) return ok(parsed.data);
  const issue = parsed.error.issues[0];
  const key = String(issue?.path[0] ?? '');
  const setting = settings.find((candidate) => candidate.key === key);
  const given = raw[key] === undefined ? 'is not set' : `is ${JSON.stringify(raw[key])}`;
  const where = setting === undefined ? key : `${setting.flag} (${setting.variable})`;
  return err(`${where} ${given}: ${issue?.message ?? 'not allowed'}. Allowed: ${setting?.description ?? ''}`);
}
