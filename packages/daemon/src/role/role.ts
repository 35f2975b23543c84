/** The roles, by name. Each is loaded only in a process that has it: an agent never loads the entry's code. */
import { Registry } from '@jasmineroute/core';
import type { Fault, SettingsSchema } from '@jasmineroute/core';
import type { RoleContext, RoleProcess } from '@jasmineroute/protocol';
import type { Result } from 'neverthrow';
import type * as z from 'zod';

/** A role process, with the caller-facing HTTP address where it has one. */
export interface RunningRole extends RoleProcess {
  httpAddress?(): string;
}

/** A role as it plugs into the daemon. */
export interface Role {
  /** Schema of the role's own settings. */
  readonly settings: SettingsSchema;
  /** Whether the role itself answers what the platform asks, on its callers' port. */
  readonly answersPlatform?: boolean;
  /** Makes the role from checked settings. */
  create(context: RoleContext, settings: Record<string, unknown>): Promise<Result<RunningRole, Fault>>;
}

/** Loads a role's code. */
export type RoleLoader = () => Promise<Role>;

/** Binds a role's schema to its factory, so that the settings it gets are the ones it declared. */
function bind<S extends SettingsSchema>(
  settings: S,
  create: (context: RoleContext, settings: z.output<S>) => Promise<Result<RunningRole, Fault>>,
): Role {
  return { settings, create: (context, checked) => create(context, checked as z.output<S>) };
}

/** Role name to loader. */
export const roles = new Registry<RoleLoader>('role')
  .add('entry', async () => {
    const { createEntry, entrySettings } = await import('@jasmineroute/entry');
    return { ...bind(entrySettings, createEntry), answersPlatform: true };
  })
  .add('agent', async () => {
    const { agentSettings, createAgent } = await import('@jasmineroute/agent');
    return bind(agentSettings, createAgent);
  })
  .add('control', async () => {
    const { controlSettings, createControl } = await import('@jasmineroute/control');
    return bind(controlSettings, createControl);
  });
