import { ManualClock, fault, silentLog } from '@jasmineroute/core';
import { create } from '@bufbuild/protobuf';
import { ClusterView, ReportStream } from '@jasmineroute/knowledge';
import type { ReportSender } from '@jasmineroute/knowledge';
import { controlMessage } from '@jasmineroute/protocol';
import { err, ok } from 'neverthrow';
import { describe, expect, it } from 'vitest';
import type { TargetPort } from '../port/index.js';
import { AnsweredTurns } from './answeredTurns.js';
import { LoadReporter } from './loadReporter.js';

const ADDRESS = '10.0.0.1:80';

const port: TargetPort = {
  report: () =>
    Promise.resolve(ok({ weights: new Map(), busy: false, orders: 0, waiting: 0, running: 0, unstarted: 0 })),
  identity: () => Promise.resolve(err(fault('target-unreachable', 'not asked'))),
  cacheNews: () => Promise.resolve(undefined),
  order: () => Promise.resolve(ok('accepted')),
};

describe('reports of the load of a target', () => {
  // Guards against a target that stays on old weights, as the process beside it reports but can't get the right to order.
  it('say at once whether the process beside it gets answers to its requests for turns', async () => {
    const clock = new ManualClock();
    const knowledge = new ClusterView(clock, silentLog);
    const announcement = controlMessage.Announcement.READY;
    const place = { service: 's', address: ADDRESS, dataCentre: 'here', capacity: 4 };
    const targets = [{ id: 't1', ...place, announcement, sequence: 1n }];
    knowledge.apply('c1', create(controlMessage.FollowEventSchema, { targets }), true);
    let isAnswering = true;
    const turns = new AnsweredTurns({
      take: () =>
        Promise.resolve(
          isAnswering ? ok({ granted: false, fence: 0n }) : err(fault('no-quorum', 'none answers')),
        ),
      release: () => Promise.resolve(ok()),
    });
    const sent: boolean[] = [];
    const stream = new ReportStream({ address: 'c1', clock, log: silentLog });
    const sender: Pick<ReportSender, 'send'> = {
      send: (reportFor) => {
        const report = reportFor(stream);
        if (report.case === 'load') sent.push(report.value.ordersBlocked);
        return Promise.resolve(stream);
      },
    };
    const canOrder = (): boolean => turns.isAnswered;
    const parts = { address: ADDRESS, port, knowledge, sender, canOrder, clock, log: silentLog };
    const reporter = new LoadReporter(parts);
    void reporter.run();
    await clock.advance(0);
    for (const answering of [false, true]) {
      isAnswering = answering;
      await turns.take({ name: 'weights/s', holder: 'a1' }, 100);
      await clock.advance(500);
    }
    reporter.stop();
    expect(sent).toEqual([false, true, false]);
  });
});
