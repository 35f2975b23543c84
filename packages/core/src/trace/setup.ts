/** Loads the tracing libraries only where a collector is set: they cost about 20 MB. */

/** Ends tracing: sends what is buffered. */
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
