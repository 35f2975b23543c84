export * from './threadCallers.js';
