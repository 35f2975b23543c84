/** Forms of the status. */
import { controlMessage } from '@jasmineroute/protocol';
import { formatTable } from '../format/index.js';
import { versionJson } from './get.js';

const { Health, Role } = controlMessage;

const roleNames: Readonly<Record<controlMessage.Role, string>> = {
  [Role.UNSPECIFIED]: 'unknown',
  [Role.ENTRY]: 'entry',
  [Role.AGENT]: 'agent',
  [Role.CONTROL]: 'control',
};

const healthNames: Readonly<Record<controlMessage.Health, string>> = {
  [Health.UNSPECIFIED]: 'unknown',
  [Health.ALIVE]: 'alive',
  [Health.SUSPECT]: 'suspect',
  [Health.LEAVING]: 'leaving',
  [Health.DOWN]: 'down',
};

/** By name, so that two outputs can be compared. */
function sorted(instances: readonly controlMessage.Instance[]): controlMessage.Instance[] {
  return [...instances].sort((a, b) => (a.name < b.name ? -1 : 1));
}

/** Names of the live instances that don't have a revision in force yet. */
function behind(status: controlMessage.StatusResponse, document: controlMessage.DocumentVersion): string[] {
  return sorted(status.instances)
    .filter((instance) => instance.health !== Health.DOWN && instance.revision < document.revision)
    .filter((instance) => concerns(instance, document))
    .map((instance) => instance.name);
}

/** An agent holds the document of its own service only. */
function concerns(instance: controlMessage.Instance, document: controlMessage.DocumentVersion): boolean {
  return instance.target === undefined || instance.target.service === document.service;
}

/** For scripts. */
export function statusJson(status: controlMessage.StatusResponse): object {
  return {
    revision: status.revision,
    vouched: status.vouched,
    replicas: status.replicas.map(({ name, address, replicaId, state, term, commitIndex }) => ({
      name,
      address,
      replicaId,
      state,
      term,
      commitIndex,
    })),
    documents: status.documents.map((document) => ({
      ...versionJson(document),
      behind: behind(status, document),
    })),
    instances: sorted(status.instances).map(instanceJson),
  };
}

function instanceJson(instance: controlMessage.Instance): object {
  return {
    name: instance.name,
    role: roleNames[instance.role],
    address: instance.address,
    dataCentre: instance.dataCentre,
    health: healthNames[instance.health],
    incarnation: instance.incarnation.toString(),
    revision: instance.revision,
    target: instance.target === undefined ? null : targetJson(instance.target),
  };
}

function targetJson(target: controlMessage.TargetState): object {
  const models = target.models.map(({ model, version, adapters }) => ({ model, version, adapters }));
  const { service, kind, ready, capacity, role, engineIncarnation } = target;
  return { service, kind, ready, capacity, role, engineIncarnation, models };
}

/** For people. */
export function formatStatus(status: controlMessage.StatusResponse): string {
  const targets = sorted(status.instances).filter((instance) => instance.target !== undefined);
  return [
    `revision ${status.revision.toString()}, ${status.vouched ? 'in touch with a quorum' : 'NOT in touch with a quorum'}\n`,
    formatReplicas(status.replicas),
    formatDocuments(status),
    formatInstances(sorted(status.instances)),
    formatTargets(targets),
  ].join('\n');
}

function formatReplicas(replicas: readonly controlMessage.Replica[]): string {
  const rows = replicas.map(({ name, address, state, term, commitIndex }) => [
    name,
    address,
    state,
    term.toString(),
    commitIndex.toString(),
  ]);
  return formatTable(['CONTROL', 'ADDRESS', 'STATE', 'TERM', 'COMMITTED'], rows);
}

function formatDocuments(status: controlMessage.StatusResponse): string {
  const rows = status.documents.map((document) => [
    document.service,
    document.version.toString(),
    document.operator,
    inForce(behind(status, document)),
  ]);
  return formatTable(['DOCUMENT', 'VERSION', 'OPERATOR', 'IN FORCE'], rows);
}

function inForce(names: readonly string[]): string {
  return names.length === 0 ? 'everywhere' : `not yet at ${names.join(', ')}`;
}

function formatInstances(instances: readonly controlMessage.Instance[]): string {
  const rows = instances.map((instance) => [
    instance.name,
    roleNames[instance.role],
    instance.dataCentre,
    instance.address,
    healthNames[instance.health],
    instance.revision.toString(),
  ]);
  return formatTable(['INSTANCE', 'ROLE', 'DATA CENTRE', 'ADDRESS', 'HEALTH', 'REVISION'], rows);
}

function formatTargets(instances: readonly controlMessage.Instance[]): string {
  const rows = instances.flatMap(({ name, target }) =>
    target === undefined
      ? []
      : [
          [
            target.service,
            name,
            target.ready ? 'ready' : 'not ready',
            target.capacity.toString(),
            modelsOf(target),
          ],
        ],
  );
  return formatTable(['SERVICE', 'TARGET', 'STATE', 'CAPACITY', 'MODELS'], rows);
}

function modelsOf({ models }: controlMessage.TargetState): string {
  return models
    .map(({ model, version, adapters }) => [`${model}@${version}`, ...adapters].join('+'))
    .join(' ');
}
