export * from './admissions.js';
export * from './backgroundTasks.js';
export * from './context.js';
export * from './decisions.js';
export * from './job.js';
export * from './callRun.js';
