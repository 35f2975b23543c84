/** Messages between the processes of the system, generated from proto/, and what their senders and receivers share. */
export * as controlMessage from './gen/jasmineroute/control_pb.js';
export * as gateMessage from './gen/jasmineroute/gate_pb.js';
export * as stateMessage from './gen/jasmineroute/state_pb.js';
export * from './transport/index.js';
export * from './role/index.js';
export * from './origin/index.js';
export * from './part/index.js';
export * from './quarantine/index.js';
export * from './start/index.js';
