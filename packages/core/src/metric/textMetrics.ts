/** Metrics in memory, read as text in the Prometheus exposition format. */
import { Counter, Gauge, Histogram, Registry } from 'prom-client';
import type { Labels, MetricKind, Metrics } from './metric.js';

/** Upper bounds of the buckets of durations, milliseconds: from one hop to the longest deadline. */
const BUCKETS_MS = [1, 2, 5, 10, 25, 50, 100, 200, 400, 800, 1_500, 3_000, 6_000, 15_000];

/** Metrics that can be read as text. */
export interface TextMetrics extends Metrics {
  /** All of them, in the exposition format. */
  text(): Promise<string>;
}

type Instrument = Counter | Gauge | Histogram;

/** "relay.request.count" becomes "jasmineroute_relay_request_count". */
const nameOf = ({ name }: MetricKind): string => `jasmineroute_${name.replaceAll('.', '_')}`;

/** Counts here; nothing leaves the process until it is asked. */
export function createTextMetrics(labels: Labels): TextMetrics {
  const registry = new Registry();
  registry.setDefaultLabels({ ...labels });
  const instruments = new Map<string, Instrument>();

  function instrumentOf<Made extends Instrument>(kind: MetricKind, make: () => Made): Made {
    const known = instruments.get(kind.name);
    if (known !== undefined) return known as Made;
    const made = make();
    instruments.set(kind.name, made);
    return made;
  }

  const options = (kind: MetricKind, own: Labels) => ({
    name: nameOf(kind),
    help: kind.help,
    labelNames: Object.keys(own),
    registers: [registry],
  });

  return {
    count: (kind, value = 1, own = {}) => {
      instrumentOf(kind, () => new Counter(options(kind, own))).inc({ ...own }, value);
    },
    gauge: (kind, value, own = {}) => {
      instrumentOf(kind, () => new Gauge(options(kind, own))).set({ ...own }, value);
    },
    timing: (kind, ms, own = {}) => {
      const make = () => new Histogram({ ...options(kind, own), buckets: BUCKETS_MS });
      instrumentOf(kind, make).observe({ ...own }, ms);
    },
    close: () => Promise.resolve(),
    text: () => registry.metrics(),
  };
}

/** Sends each measurement to all of several. */
export function eachOf(all: readonly Metrics[]): Metrics {
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
