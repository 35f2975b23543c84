/** Serving side: documents and instances for other processes. */
export * from './changeSignal.js';
export * from './serveDirectory.js';
export * from './source.js';
export * from './viewSource.js';
