import { describe, expect, it } from 'vitest';
import type { MetricKind } from './metric.js';
import { createTextMetrics, combineMetrics } from './textMetrics.js';

const requests: MetricKind = { name: 'a.request.count', type: 'counter', help: 'Requests' };
const open: MetricKind = { name: 'a.open', type: 'gauge', help: 'Open' };
const duration: MetricKind = { name: 'a.duration', type: 'timing', help: 'Duration' };

describe('text metrics', () => {
  it('contain counters, gauges and histograms with their labels', async () => {
    const metrics = createTextMetrics({ instance: 'e1' });
    metrics.count(requests, 1, { outcome: 'ok' });
    metrics.count(requests, 2, { outcome: 'ok' });
    metrics.gauge(open, 7);
    metrics.timing(duration, 30);
    const text = await metrics.text();
    expect(text).toContain('jasmineroute_a_request_count{outcome="ok",instance="e1"} 3');
    expect(text).toContain('jasmineroute_a_open{instance="e1"} 7');
    expect(text).toContain('jasmineroute_a_duration_bucket{le="50",instance="e1"} 1');
    expect(text).toContain('jasmineroute_a_duration_bucket{le="25",instance="e1"} 0');
  });

  it('receive the measurements of combined metrics', async () => {
    const [first, second] = [createTextMetrics({}), createTextMetrics({})];
    combineMetrics([first, second]).count(requests);
    expect(await first.text()).toBe(await second.text());
    expect(await first.text()).toContain('jasmineroute_a_request_count 1');
  });
});
