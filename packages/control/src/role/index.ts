export * from './control.js';
export * from './createControl.js';
export * from './createState.js';
