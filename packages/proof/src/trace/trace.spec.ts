import { waitFor } from '@jasmineroute/testkit';
import { afterAll, beforeAll, describe, expect, it } from 'vitest';
import { Collector, Scene, ask } from '../fixture/index.js';

describe('traces', () => {
  let collector: Collector;
  let scene: Scene;

  beforeAll(async () => {
    collector = await Collector.start();
    scene = await Scene.start({
      controls: 1,
      entries: 1,
      engines: 1,
      desks: 0,
      env: { JASMINEROUTE_OTLP_URL: collector.url },
    });
  });

  afterAll(async () => {
    await scene.stop();
    collector.close();
  });

  it('show one request across entry, agent and engine', async () => {
    const answer = await ask({ url: scene.url() });
    expect(answer.ended).toBe(true);
    const spans = await waitFor('spans of both processes', () => {
      const entry = collector.spans.find((span) => span.service === 'jasmineroute-entry');
      const ofTrace = collector.spans.filter((span) => span.traceId === entry?.traceId);
      const services = new Set(ofTrace.map((span) => span.service));
      return services.size === 2 && ofTrace.length >= 4 ? ofTrace : undefined;
    });
    const ids = new Set(spans.map((span) => span.spanId));
    const roots = spans.filter((span) => span.parentSpanId === undefined || !ids.has(span.parentSpanId));
    expect(roots.map((span) => span.service)).toEqual(['jasmineroute-entry']);
    const agentSpans = spans.filter((span) => span.service === 'jasmineroute-agent');
    expect(agentSpans.length).toBeGreaterThanOrEqual(2);
  });
});
