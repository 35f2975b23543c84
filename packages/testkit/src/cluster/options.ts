/** What a cluster is made of. */

/** Part that a process plays. */
export type MemberRole = 'control' | 'entry' | 'agent' | 'engine' | 'plain' | 'store';

/** A control instance or an entry. */
export interface InstanceSpec {
  readonly name: string;
  readonly dataCentre: string;
  /** Further flags of the daemon. */
  readonly args?: readonly string[];
}

/** A target with the agent beside it. */
export interface TargetSpec {
  /** Name of the agent's instance; the stand-in is "<name>-target". */
  readonly name: string;
  readonly dataCentre: string;
  readonly service: string;
  readonly kind: 'model' | 'plain';
  /** Further flags of the stand-in. */
  readonly standInArgs?: readonly string[];
  /** Further flags of the agent. */
  readonly agentArgs?: readonly string[];
}

/** A document to apply once control is up. */
export interface DocumentSpec {
  readonly service: string;
  readonly text: string;
  /** Key of an operator that it names. */
  readonly key: string;
}

/** A whole cluster. */
export interface ClusterOptions {
  /** Logs, data and documents go here. */
  readonly folder: string;
  readonly controls: readonly InstanceSpec[];
  readonly entries: readonly InstanceSpec[];
  readonly targets: readonly TargetSpec[];
  readonly documents: readonly DocumentSpec[];
  /** Store stand-in for weights and kept KV cache; absent: none. */
  readonly store?: InstanceSpec;
  /** Whether a fault-injecting proxy stands before every process. */
  readonly links: 'direct' | 'proxied';
  /** One-way delay of every proxied link, milliseconds. */
  readonly latencyMs?: number;
  readonly logLevel?: 'debug' | 'info' | 'warn' | 'error';
  /** Environment of all processes. */
  readonly env?: Readonly<Record<string, string>>;
}
