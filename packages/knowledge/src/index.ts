/** State that a process replicates from control instances, and the subscriptions and reports that carry it. */
export * from './controlOrder.js';
export * from './events.js';
export * from './followTask.js';
export * from './follower.js';
export * from './clusterView.js';
export * from './reportSender.js';
export * from './reportStream.js';
export * from './sharedEvents.js';
export * from './targetList.js';
export * from './failoverClient.js';
