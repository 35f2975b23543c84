/** Loads the tracing libraries only if a collector is configured: they take about 20 MB. */

/** Flushes buffered spans and stops tracing. */
export type Shutdown = () => Promise<void>;

/** Sends spans to an OTLP/HTTP collector. */
export async function startTracing(url: string, serviceName: string, instance: string): Promise<Shutdown> {
  const [{ NodeTracerProvider }, { BatchSpanProcessor }, { OTLPTraceExporter }, { resourceFromAttributes }] =
    await Promise.all([
      import('@opentelemetry/sdk-trace-node'),
      import('@opentelemetry/sdk-trace-base'),
      import('@opentelemetry/exporter-trace-otlp-http'),
      import('@opentelemetry/resources'),
    ]);
  const provider = new NodeTracerProvider({
    resource: resourceFromAttributes({ 'service.name': serviceName, 'service.instance.id': instance }),
    spanProcessors: [new BatchSpanProcessor(new OTLPTraceExporter({ url }), { scheduledDelayMillis: 500 })],
  });
  provider.register();
  return () => provider.shutdown();
}
