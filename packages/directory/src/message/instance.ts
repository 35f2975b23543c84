/** Converts instances to and from messages. */
import { create } from '@bufbuild/protobuf';
import { controlMessage } from '@jasmineroute/protocol';
import type { Health, Instance, LoadedModel, Role, Target } from '../view/index.js';

const { InstanceSchema, TargetStateSchema, LoadedModelSchema } = controlMessage;
const HealthCode = controlMessage.Health;
const RoleCode = controlMessage.Role;

/** An instance in its message form. */
export type InstanceMessage = controlMessage.Instance;

const healthCodes: Readonly<Record<Health, controlMessage.Health>> = {
  alive: HealthCode.ALIVE,
  suspect: HealthCode.SUSPECT,
  leaving: HealthCode.LEAVING,
  down: HealthCode.DOWN,
};

const healths: Readonly<Record<controlMessage.Health, Health>> = {
  [HealthCode.UNSPECIFIED]: 'down',
  [HealthCode.ALIVE]: 'alive',
  [HealthCode.SUSPECT]: 'suspect',
  [HealthCode.LEAVING]: 'leaving',
  [HealthCode.DOWN]: 'down',
};

const roleCodes: Readonly<Record<Role, controlMessage.Role>> = {
  entry: RoleCode.ENTRY,
  agent: RoleCode.AGENT,
  control: RoleCode.CONTROL,
};

const roles: Readonly<Record<controlMessage.Role, Role>> = {
  [RoleCode.UNSPECIFIED]: 'entry',
  [RoleCode.ENTRY]: 'entry',
  [RoleCode.AGENT]: 'agent',
  [RoleCode.CONTROL]: 'control',
};

/** Converts a health to its message value. */
export function healthToMessage(health: Health): controlMessage.Health {
  return healthCodes[health];
}

/** Converts a message value to a health; unknown values become 'down'. */
export function healthFromMessage(code: controlMessage.Health): Health {
  return (healths as Partial<Record<number, Health>>)[code] ?? 'down';
}

/** Converts a role to its message value. */
export function roleToMessage(role: Role): controlMessage.Role {
  return roleCodes[role];
}

/** Converts a target to a message. */
export function targetToMessage(target: Target): controlMessage.TargetState {
  return create(TargetStateSchema, {
    ...target,
    models: target.models.map((model) =>
      create(LoadedModelSchema, { ...model, adapters: [...model.adapters] }),
    ),
  });
}

/** Converts a message to a target. */
export function targetFromMessage(message: controlMessage.TargetState): Target {
  const models: LoadedModel[] = message.models.map(({ model, version, adapters }) => ({
    model,
    version,
    adapters,
  }));
  return {
    service: message.service,
    kind: message.kind === 'plain' ? 'plain' : 'model',
    engineIncarnation: message.engineIncarnation,
    ready: message.ready,
    models,
    capacity: message.capacity,
    role: message.role,
    softwareVersion: message.softwareVersion,
  };
}

/** Converts an instance to a message. */
export function instanceToMessage(instance: Instance, sequence = 0n): InstanceMessage {
  return create(InstanceSchema, {
    name: instance.name,
    incarnation: instance.incarnation,
    role: roleCodes[instance.role],
    address: instance.address,
    dataCentre: instance.dataCentre,
    health: healthCodes[instance.health],
    target: instance.target === undefined ? undefined : targetToMessage(instance.target),
    sequence,
    revision: instance.revision,
  });
}

/** Converts a message to an instance. */
export function instanceFromMessage(message: InstanceMessage): Instance {
  return {
    name: message.name,
    incarnation: message.incarnation,
    role: (roles as Partial<Record<number, Role>>)[message.role] ?? 'entry',
    address: message.address,
    dataCentre: message.dataCentre,
    health: healthFromMessage(message.health),
    target: message.target === undefined ? undefined : targetFromMessage(message.target),
    revision: message.revision,
  };
}
