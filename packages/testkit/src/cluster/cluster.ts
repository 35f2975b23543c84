/** A whole system on loopback as real processes: started, driven, broken and stopped. */
import { mkdirSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import * as z from 'zod';
import { waitFor } from '../wait/index.js';
import { MemberBuilder } from './build.js';
import { runCtl } from './ctl.js';
import type { CommandResult } from './ctl.js';
import type { Member } from './member.js';
import type { ClusterOptions, DocumentSpec, MemberRole } from './options.js';

const START_TIMEOUT_MS = 60_000;
/** Control first: others keep asking for it. */
const START_ORDER: readonly MemberRole[] = ['control', 'store', 'engine', 'plain', 'agent', 'entry'];
const STARTS_AT_ONCE = 8;
const STOP_ORDER: readonly MemberRole[] = ['entry', 'agent', 'engine', 'plain', 'store', 'control'];

const statusOutput = z.object({
  documents: z.array(z.object({ service: z.string(), behind: z.array(z.string()) })),
  instances: z.array(
    z.object({
      name: z.string(),
      role: z.string(),
      health: z.string(),
      target: z.object({ service: z.string(), ready: z.boolean() }).nullable(),
    }),
  ),
});

/** What `jasminectl status` says, as far as a launcher needs it. */
export type ClusterStatus = z.output<typeof statusOutput>;

/** Running processes by name. */
export class Cluster {
  private constructor(
    readonly options: ClusterOptions,
    readonly members: ReadonlyMap<string, Member>,
    /** Addresses of control instances, separated by commas. */
    readonly controls: string,
  ) {}

  /** Starts everything, applies the documents, and waits until requests can be served. */
  static async start(options: ClusterOptions): Promise<Cluster> {
    mkdirSync(options.folder, { recursive: true });
    const builder = new MemberBuilder(options);
    const members = await builder.build();
    const cluster = new Cluster(options, members, builder.controls);
    try {
      await cluster.startAll();
      for (const document of options.documents) await cluster.apply(document);
      await cluster.settled();
    } catch (error) {
      const status = await cluster.ctl(['status']).catch(() => undefined);
      await cluster.stop(0);
      throw new Error(`${String(error)}\n${status?.stdout ?? ''}${status?.stderr ?? ''}`, { cause: error });
    }
    return cluster;
  }

  /** Starts a few at a time: dozens at once would starve each other, and one would miss its time to be ready. */
  private async startAll(): Promise<void> {
    const waiting = START_ORDER.flatMap((role) => this.role(role));
    const startNext = async (): Promise<void> => {
      for (let member = waiting.shift(); member !== undefined; member = waiting.shift()) {
        await member.process.start();
      }
    };
    const starts = Array.from({ length: STARTS_AT_ONCE }, () =>
      startNext().catch((error: unknown) => {
        // None may be started any more once the caller is told and stops the others.
        waiting.length = 0;
        throw error;
      }),
    );
    const failed = (await Promise.allSettled(starts)).find((start) => start.status === 'rejected');
    if (failed !== undefined) throw failed.reason;
  }

  /** A member by name. @throws Error when there is none. */
  member(name: string): Member {
    const member = this.members.get(name);
    if (member === undefined) throw new Error(`no member ${name}`);
    return member;
  }

  /** Members of a role, in the order of the options. */
  role(role: MemberRole): Member[] {
    return [...this.members.values()].filter((member) => member.role === role);
  }

  /** URLs for callers, one for each entry. */
  get entryUrls(): string[] {
    return this.role('entry').map((member) => member.url);
  }

  /** Runs `jasminectl` against this cluster's control instances. */
  ctl(args: readonly string[], key?: string): Promise<CommandResult> {
    return runCtl(args, {
      JASMINEROUTE_CONTROLS: this.controls,
      ...(key === undefined ? {} : { JASMINEROUTE_KEY: key }),
    });
  }

  /** Applies a document, again while no quorum is up. @throws Error with what the tool said. */
  async apply(document: DocumentSpec): Promise<void> {
    const file = join(this.options.folder, `${document.service}.yaml`);
    writeFileSync(file, document.text);
    let last: CommandResult | undefined;
    await waitFor(
      `document ${document.service} to be accepted`,
      async () => {
        last = await this.ctl(['apply', file], document.key);
        return last.code === 0;
      },
      { timeoutMs: START_TIMEOUT_MS, everyMs: 250 },
    ).catch((error: unknown) => {
      throw new Error(`${String(error)}: ${last?.stderr ?? ''}${last?.stdout ?? ''}`);
    });
  }

  /** What control says of documents and instances. */
  async status(): Promise<ClusterStatus> {
    const result = await this.ctl(['status', '--output', 'json']);
    if (result.code !== 0) throw new Error(result.stderr);
    return statusOutput.parse(JSON.parse(result.stdout));
  }

  /** Waits until all processes are ready and all documents are in force at all of them. */
  async settled(): Promise<void> {
    const daemons = [...this.members.values()].filter((member) =>
      ['control', 'entry', 'agent'].includes(member.role),
    );
    await Promise.all(daemons.map((member) => waitReady(member)));
    const targets = this.role('agent').length;
    await waitFor(
      'documents in force everywhere and all targets announced',
      async () => {
        const status = await this.status();
        const announced = status.instances.filter(
          (one) => one.target?.ready === true && one.health === 'alive',
        );
        const inForce = status.documents.every((document) => document.behind.length === 0);
        return inForce && announced.length >= targets;
      },
      { timeoutMs: START_TIMEOUT_MS, everyMs: 200 },
    );
  }

  /** For scripts: callers' URLs and every process. */
  state(): object {
    const processes = [...this.members.values()].map((member) => ({
      name: member.name,
      role: member.role,
      pid: member.process.running ? member.process.pid : null,
      address: member.address,
      url: member.role === 'entry' ? member.url : undefined,
      dataCentre: member.spec.dataCentre,
      log: member.spec.logFile,
    }));
    return { urls: this.entryUrls, controls: this.controls, processes };
  }

  /** Stops all; entries and agents first. `limitMs` 0 is kill -9. */
  async stop(limitMs = 15_000): Promise<void> {
    for (const role of STOP_ORDER) {
      await Promise.all(this.role(role).map((member) => member.close(limitMs)));
    }
  }
}

/** Waits until a daemon says that work should be sent to it. */
export async function waitReady(member: Member, timeoutMs = START_TIMEOUT_MS): Promise<void> {
  await waitFor(
    `${member.name} to be ready`,
    async () => {
      const answer = await fetch(`${member.ownUrl}/readyz`, { signal: AbortSignal.timeout(2_000) });
      await answer.arrayBuffer();
      return answer.ok;
    },
    { timeoutMs, everyMs: 50 },
  );
}
