/** Metrics of the updates of weights. */
import { defineMetrics } from '@jasmineroute/core';

export const rolloutMetrics = defineMetrics({
  updaterFailures: {
    name: 'rollout.updater_failures',
    type: 'counter',
    help: 'Failures of the update of a target without a process beside it',
  },
});
