/** One process of a cluster with the links that lead to it. */
import { ManagedProcess } from '../process/index.js';
import { FaultProxy } from '../proxy/index.js';
import type { MemberRole } from './options.js';

/** What a member is started with. */
export interface MemberSpec {
  readonly name: string;
  readonly role: MemberRole;
  readonly dataCentre: string;
  /** Loopback address that its connections to other processes come from; daemons only. */
  readonly sourceAddress?: string;
  readonly script: string;
  readonly args: readonly string[];
  /** Port that others connect to; the same over restarts. */
  readonly port: number;
  /** Port of callers' HTTP, entries only. */
  readonly httpPort?: number;
  readonly logFile: string;
  readonly env?: Readonly<Record<string, string>>;
}

/** A process, the proxy before its port, and the proxy before its callers' port. */
export class Member {
  readonly process: ManagedProcess;

  private constructor(
    readonly spec: MemberSpec,
    readonly link: FaultProxy | undefined,
    readonly callerLink: FaultProxy | undefined,
  ) {
    const { name, script, args, logFile, env } = spec;
    this.process = new ManagedProcess({ name, script, args, logFile, env });
  }

  /** Opens the links; the process is started later. */
  static async create(
    make: (advertised: string) => MemberSpec,
    port: number,
    httpPort: number | undefined,
    links: 'direct' | 'proxied',
  ): Promise<Member> {
    const proxied = links === 'proxied';
    const link = proxied ? await FaultProxy.open(`127.0.0.1:${port}`) : undefined;
    const callerLink =
      proxied && httpPort !== undefined ? await FaultProxy.open(`127.0.0.1:${httpPort}`) : undefined;
    return new Member(make(link?.address ?? `127.0.0.1:${port}`), link, callerLink);
  }

  get name(): string {
    return this.spec.name;
  }

  get role(): MemberRole {
    return this.spec.role;
  }

  /** host:port that others use. */
  get address(): string {
    return this.link?.address ?? `127.0.0.1:${this.spec.port}`;
  }

  /** URL that callers use, entries only. */
  get url(): string {
    const { httpPort } = this.spec;
    if (httpPort === undefined) return `http://${this.address}`;
    return `http://${this.callerLink?.address ?? `127.0.0.1:${httpPort}`}`;
  }

  /** URL of the process itself, past any proxy: for health and for a stand-in's own calls. */
  get ownUrl(): string {
    const { http } = this.process.ready;
    if (http === undefined) throw new Error(`${this.name} has no HTTP address`);
    return http.startsWith('http') ? http : `http://${http}`;
  }

  /** kill -9, then the same process again on the same ports. */
  async crash(): Promise<void> {
    await this.process.kill();
    await this.process.start();
  }

  /** Ends the process and its links. */
  async close(limitMs: number): Promise<void> {
    if (limitMs === 0) await this.process.kill();
    else await this.process.stop(limitMs);
    await this.link?.close();
    await this.callerLink?.close();
  }
}
