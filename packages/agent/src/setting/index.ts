export * from './setting.js';
