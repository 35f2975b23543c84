/** Port to engines and plain services, and its adapters. */
export * from './adapter/index.js';
export * from './events.js';
export * from './http/index.js';
export * from './plain/index.js';
export * from './port/index.js';
export * from './prompt/index.js';
export * from './sse/index.js';
export * from './wire/index.js';
