import { silentLog, systemClock } from '@jasmineroute/core';
import { ReportSender } from '@jasmineroute/knowledge';
import { Peers, controlMessage, listen } from '@jasmineroute/protocol';
import type { RpcServer } from '@jasmineroute/protocol';
import { reportTaker } from '@jasmineroute/testkit';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { until } from '../testing/bed.js';
import { Backlog } from './backlog.js';
import { WorkReporter } from './workReporter.js';

describe('the pending work of an entry', () => {
  const reports: string[] = [];
  const backlog = new Backlog(systemClock);
  let server: RpcServer;
  let peers: Peers;
  let reporter: WorkReporter;
  let sender: ReportSender;

  beforeEach(async () => {
    reports.length = 0;
    server = await listen('127.0.0.1', 0, (router) => {
      router.service(controlMessage.Configurations, {
        report: reportTaker((report) => {
          if (report.case !== 'work') return;
          const { entry, targets } = report.value;
          reports.push(`${entry} ${targets.map(({ targetId, tokens }) => `${targetId}:${tokens}`).join()}`);
        }),
      });
    });
    peers = new Peers();
    // Nothing listens at the first address.
    const controls = (): string[] => ['127.0.0.1:1', server.address];
    sender = new ReportSender({ controls, peers, clock: systemClock, log: silentLog });
    reporter = new WorkReporter({ name: 'e1', backlog, entries: () => 1, sender, clock: systemClock });
    void reporter.run();
  });

  afterEach(async () => {
    reporter.stop();
    sender.close();
    peers.close();
    await server.close();
  });

  it('is reported when it changes and at intervals, to an instance that answers', async () => {
    // If an entry knew only its own requests, two entries that choose within the time that it takes to read a prompt
    // would both send theirs to the same target while another is idle. Reports must get through while a control
    // instance is down.
    const open = backlog.enqueue('t1', 2_000);
    await until(() => reports.length >= 2);
    expect(new Set(reports)).toEqual(new Set(['e1 t1:2000']));
    open.markRead();
    await until(() => reports.at(-1) === 'e1 ');
    open.remove();
  });
});
