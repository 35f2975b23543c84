/** Turns a cluster's options into members: ports, flags, links. */
import { mkdirSync } from 'node:fs';
import { join } from 'node:path';
import { freePort } from '../port/index.js';
import { Member } from './member.js';
import type { ClusterOptions, InstanceSpec, MemberRole, TargetSpec } from './options.js';
import { programs } from './paths.js';

/** Makes members one by one; controls first, so that the others can be told their addresses. */
export class MemberBuilder {
  readonly members = new Map<string, Member>();
  private readonly sources = new Map<string, string>();

  constructor(private readonly options: ClusterOptions) {}

  /** Addresses of control instances, for flags. */
  get controls(): string {
    return [...this.members.values()]
      .filter((member) => member.role === 'control')
      .map((member) => member.address)
      .join(',');
  }

  /** Makes all members; none is started. */
  async build(): Promise<ReadonlyMap<string, Member>> {
    await this.addControls();
    if (this.options.store !== undefined) await this.addStore(this.options.store);
    for (const entry of this.options.entries) await this.addEntry(entry);
    for (const target of this.options.targets) await this.addTarget(target);
    return this.members;
  }

  private async add(
    name: string,
    role: MemberRole,
    dataCentre: string,
    script: string,
    args: (advertised: string, port: number) => readonly string[],
    httpPort?: number,
  ): Promise<Member> {
    const port = await freePort();
    const { folder, env, links, latencyMs = 0 } = this.options;
    const logFile = join(folder, 'logs', `${name}.log`);
    const member = await Member.create(
      (advertised) => ({
        name,
        role,
        dataCentre,
        script,
        args: args(advertised, port),
        sourceAddress: this.sources.get(name),
        port,
        httpPort,
        logFile,
        env,
      }),
      port,
      httpPort,
      links,
    );
    member.link?.set({ latencyMs });
    this.members.set(name, member);
    return member;
  }

  private daemonArgs(role: MemberRole, spec: InstanceSpec, advertised: string, port: number): string[] {
    return [
      ...['--role', role, '--name', spec.name, '--data-centre', spec.dataCentre],
      ...['--port', String(port), '--advertise', advertised],
      ...['--source-address', this.sourceOf(spec.name)],
      ...['--log-level', this.options.logLevel ?? 'info'],
    ];
  }

  /** Each daemon has a loopback address of its own, by which links tell who connects. */
  private sourceOf(name: string): string {
    const known = this.sources.get(name) ?? `127.0.1.${this.sources.size + 1}`;
    this.sources.set(name, known);
    return known;
  }

  /** The operator makes the data folder: a process that finds none must not take a lost disk for a first start. */
  private dataFolder(name: string): string {
    const folder = join(this.options.folder, 'data', name);
    mkdirSync(folder, { recursive: true });
    return folder;
  }

  /** Control instances must know each other's advertised addresses, so all links are opened first. */
  private async addControls(): Promise<void> {
    const replicas: string[] = [];
    const late: string[][] = [];
    for (const spec of this.options.controls) {
      const member = await this.add(
        spec.name,
        'control',
        spec.dataCentre,
        programs.daemon,
        (advertised, port) => {
          const args = this.daemonArgs('control', spec, advertised, port);
          args.push('--data-folder', this.dataFolder(spec.name), ...(spec.args ?? []));
          late.push(args);
          return args;
        },
      );
      replicas.push(`${spec.name}=${member.address}`);
    }
    for (const args of late) args.push('--replicas', replicas.join(','), '--controls', this.controls);
  }

  private async addStore(spec: InstanceSpec): Promise<void> {
    await this.add(spec.name, 'store', spec.dataCentre, programs.bench, (_, port) => [
      ...['store', '--name', spec.name, '--port', String(port)],
      ...(spec.args ?? []),
    ]);
  }

  private async addEntry(spec: InstanceSpec): Promise<void> {
    const httpPort = await freePort();
    await this.add(
      spec.name,
      'entry',
      spec.dataCentre,
      programs.daemon,
      (advertised, port) => [
        ...this.daemonArgs('entry', spec, advertised, port),
        ...['--controls', this.controls, '--http-port', String(httpPort)],
        ...['--data-folder', this.dataFolder(spec.name)],
        ...(spec.args ?? []),
      ],
      httpPort,
    );
  }

  private async addTarget(spec: TargetSpec): Promise<void> {
    const { name, dataCentre, kind } = spec;
    const standIn = `${name}-target`;
    const { folder } = this.options;
    const role = { model: 'engine', plain: 'plain' }[kind] as MemberRole;
    const target = await this.add(standIn, role, dataCentre, programs.bench, (_, port) => [
      ...[role, '--name', standIn, '--port', String(port)],
      ...['--executions', join(folder, `${standIn}.executions`)],
      ...(spec.standInArgs ?? []),
    ]);
    await this.add(name, 'agent', dataCentre, programs.daemon, (advertised, port) => [
      ...this.daemonArgs('agent', { name, dataCentre }, advertised, port),
      ...['--controls', this.controls, '--service', spec.service, '--kind', kind],
      ...['--target-url', `http://${target.address}`],
      ...(spec.agentArgs ?? []),
    ]);
  }
}
