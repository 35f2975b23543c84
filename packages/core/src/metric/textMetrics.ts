/** In-memory metrics in the Prometheus text exposition format. */
import { Counter, Gauge, Histogram, Registry } from 'prom-client';
import type { Labels, MetricKind, Metrics } from './metric.js';

/** Upper bounds of histogram buckets, milliseconds: from the duration of one hop to the longest deadline. */
const BUCKETS_MS = [1, 2, 5, 10, 25, 50, 100, 200, 400, 800, 1_500, 3_000, 6_000, 15_000];

/** Metrics that can be read as text. */
export interface TextMetrics extends Metrics {
  /** All metrics in the exposition format. */
  text(): Promise<string>;
}

type Instrument = Counter | Gauge | Histogram;

/** "relay.request.count" becomes "jasmineroute_relay_request_count". */
const prometheusName = ({ name }: MetricKind): string => `jasmineroute_${name.replaceAll('.', '_')}`;

/** Collects metrics in memory until they are read. */
export function createTextMetrics(labels: Labels): TextMetrics {
  const registry = new Registry();
  registry.setDefaultLabels({ ...labels });
  const instruments = new Map<string, Instrument>();

  function instrumentOf<Created extends Instrument>(kind: MetricKind, make: () => Created): Created {
    const known = instruments.get(kind.name);
    if (known !== undefined) return known as Created;
    const created = make();
    instruments.set(kind.name, created);
    return created;
  }

  const options = (kind: MetricKind, measurementLabels: Labels) => ({
    name: prometheusName(kind),
    help: kind.help,
    labelNames: Object.keys(measurementLabels),
    registers: [registry],
  });

  return {
    count: (kind, value = 1, measurementLabels = {}) => {
      instrumentOf(kind, () => new Counter(options(kind, measurementLabels))).inc(
        { ...measurementLabels },
        value,
      );
    },
    gauge: (kind, value, measurementLabels = {}) => {
      instrumentOf(kind, () => new Gauge(options(kind, measurementLabels))).set(
        { ...measurementLabels },
        value,
      );
    },
    timing: (kind, ms, measurementLabels = {}) => {
      const make = () => new Histogram({ ...options(kind, measurementLabels), buckets: BUCKETS_MS });
      instrumentOf(kind, make).observe({ ...measurementLabels }, ms);
    },
    close: () => Promise.resolve(),
    text: () => registry.metrics(),
  };
}

/** Forwards each measurement to all of the given metrics. */
export function combineMetrics(all: readonly Metrics[]): Metrics {
  return {
    count: (...measurement) => {
      for (const one of all) one.count(...measurement);
    },
    gauge: (...measurement) => {
      for (const one of all) one.gauge(...measurement);
    },
    timing: (...measurement) => {
      for (const one of all) one.timing(...measurement);
    },
    close: async () => {
      await Promise.all(all.map((one) => one.close()));
    },
  };
}
