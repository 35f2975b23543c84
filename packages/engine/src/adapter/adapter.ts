/** The registered adapters: a new kind of engine is one more entry. */
import { Registry } from '@jasmineroute/core';
import type { Clock, Log } from '@jasmineroute/core';
import { createHttpEngine } from '../http/index.js';
import { createPlainTarget } from '../plain/index.js';
import type { Engine } from '../port/index.js';

/** What every adapter is made with. */
export interface EngineOptions {
  readonly baseUrl: string;
  readonly clock: Clock;
  readonly log: Log;
  /** Longest silence on an event stream, milliseconds. */
  readonly silenceMs: number;
  /** Concurrent requests, for targets that do not say. */
  readonly capacity: number;
  /** Path of a health check, for plain services. */
  readonly healthPath?: string;
}

/** Makes an engine. */
export type EngineFactory = (options: EngineOptions) => Engine;

/** Adapters by name. */
export const engineAdapters = new Registry<EngineFactory>('engine adapter')
  .add('http', createHttpEngine)
  .add('plain', createPlainTarget);
