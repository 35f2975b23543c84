/** Registry of engine adapters. */
import { Registry } from '@jasmineroute/core';
import type { Clock, Log } from '@jasmineroute/core';
import { createHttpEngine } from '../http/index.js';
import { createPlainTarget } from '../plain/index.js';
import type { Engine } from '../port/index.js';

/** Options of every adapter. */
export interface EngineOptions {
  readonly baseUrl: string;
  readonly clock: Clock;
  readonly log: Log;
  /** Longest silence on an event stream before it is aborted, milliseconds. */
  readonly silenceMs: number;
  /** Concurrent requests, for targets that do not report their capacity. */
  readonly capacity: number;
  /** Path of a health check, for plain services. */
  readonly healthPath?: string;
}

/** Creates an engine. */
export type EngineFactory = (options: EngineOptions) => Engine;

/** Adapters by name. */
export const engineAdapters = new Registry<EngineFactory>('engine adapter')
  .add('http', createHttpEngine)
  .add('plain', createPlainTarget);
