/** Service between replicas for a process without a disk. */
import { create } from '@bufbuild/protobuf';
import { Code, ConnectError } from '@connectrpc/connect';
import type { ConnectRouter } from '@connectrpc/connect';
import { Agreement, JoinResponseSchema } from '../gen/agreement/agreement_pb.js';
import { voter } from './configuration.js';

/** State that a process without a disk reports. */
export const WITHOUT_DISK = 'without a disk';

const rejectCall = (): never => {
  throw new ConnectError('this process has no disk and keeps no log', Code.Unavailable);
};

/**
 * Adds the service between replicas for a process without a disk. It grants no votes and stores no log, but answers join
 * requests: a cluster is founded only when all its initial replicas have answered, and would otherwise wait for it for ever.
 */
export function routesWithoutDisk(router: ConnectRouter, name: string, address: () => string): void {
  router.service(Agreement, {
    join: () => create(JoinResponseSchema, { replica: voter(name, address(), ''), state: WITHOUT_DISK }),
    vote: rejectCall,
    append: rejectCall,
    install: rejectCall,
    propose: rejectCall,
  });
}
