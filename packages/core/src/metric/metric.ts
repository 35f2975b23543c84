/** Port for metrics, with an implementation that sends them to StatsD. */
import { StatsD } from 'hot-shots';

/** Labels of one measurement. */
export type Labels = Readonly<Record<string, string>>;

/** One metric of a catalogue. */
export interface MetricKind {
  readonly name: string;
  readonly type: 'counter' | 'gauge' | 'timing';
  readonly help: string;
}

/** Port for metrics. */
export interface Metrics {
  /** Increments a counter. */
  count(kind: MetricKind, value?: number, labels?: Labels): void;
  /** Sets a gauge. */
  gauge(kind: MetricKind, value: number, labels?: Labels): void;
  /** Records a duration in milliseconds. */
  timing(kind: MetricKind, ms: number, labels?: Labels): void;
  /** Flushes buffered measurements. */
  close(): Promise<void>;
}

/** Declares a package's metrics: name to kind. */
export function defineMetrics<const T extends Record<string, MetricKind>>(catalogue: T): T {
  return catalogue;
}

/** Sends to a StatsD daemon over UDP. */
export function createMetrics(host: string, port: number, labels: Labels): Metrics {
  const client = new StatsD({
    host,
    port,
    prefix: 'jasmineroute.',
    globalTags: { ...labels },
    maxBufferSize: 1_400,
    errorHandler: () => undefined,
  });
  return {
    count: (kind, value = 1, tags = {}) => {
      client.increment(kind.name, value, { ...tags });
    },
    gauge: (kind, value, tags = {}) => {
      client.gauge(kind.name, value, { ...tags });
    },
    timing: (kind, ms, tags = {}) => {
      client.timing(kind.name, ms, { ...tags });
    },
    close: () =>
      new Promise((resolve) => {
        client.close(() => {
          resolve();
        });
      }),
  };
}

/** Discards all measurements. */
export const silentMetrics: Metrics = {
  count: () => undefined,
  gauge: () => undefined,
  timing: () => undefined,
  close: () => Promise.resolve(),
};
