/** What a process among replicas answers that has no disk. */
import { create } from '@bufbuild/protobuf';
import { Code, ConnectError } from '@connectrpc/connect';
import type { ConnectRouter } from '@connectrpc/connect';
import { Agreement, JoinResponseSchema } from '../gen/agreement/agreement_pb.js';
import { voter } from './configuration.js';

/** State that such a process reports of itself. */
export const WITHOUT_DISK = 'without a disk';

const refuse = (): never => {
  throw new ConnectError('this process has no disk and keeps no log', Code.Unavailable);
};

/**
 * Adds the service between replicas for a process without a disk. It votes for nobody and holds nothing, and says so: a
 * cluster is founded only when all its initial replicas have answered, and would wait for this one for ever.
 */
export function routesWithoutDisk(router: ConnectRouter, name: string, address: () => string): void {
  router.service(Agreement, {
    join: () => create(JoinResponseSchema, { replica: voter(name, address(), ''), state: WITHOUT_DISK }),
    vote: refuse,
    append: refuse,
    install: refuse,
    propose: refuse,
  });
}
