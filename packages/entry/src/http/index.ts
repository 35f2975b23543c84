export * from './app.js';
export * from './arrivedConnections.js';
export * from './badConnection.js';
export * from './body.js';
export * from './callerConnection.js';
export * from './requestHandler.js';
export * from './reply.js';
export * from './server.js';
