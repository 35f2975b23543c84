export * from './balancer.js';
