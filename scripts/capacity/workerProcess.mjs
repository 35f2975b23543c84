// Processes of a measurement: one module, started with arguments, answering questions one after the other.
import { fork } from 'node:child_process';
import { once } from 'node:events';
import { fileURLToPath } from 'node:url';

/** The side that starts a worker and asks it. */
export class WorkerProcess {
  constructor(name, args = []) {
    const path = fileURLToPath(new URL(`./workers/${name}.mjs`, import.meta.url));
    this.child = fork(path, args, { execArgv: ['--expose-gc'] });
    this.name = name;
    this.waiting = [];
    this.child.on('message', (answer) => this.waiting.shift()?.(answer));
    this.child.on('exit', () => {
      for (const give of this.waiting.splice(0)) give({ problem: 'ended before it answered' });
    });
  }

  get pid() {
    return this.child.pid;
  }

  /** The answer to a question. @throws Error when the worker fails. */
  async ask(question, value) {
    const answered = new Promise((resolve) => this.waiting.push(resolve));
    this.child.send({ question, value });
    const answer = await answered;
    if (answer.problem !== undefined) throw new Error(`${this.name}: ${answer.problem}`);
    return answer.value;
  }

  /** Ends the process by its id. */
  async stop() {
    if (this.child.exitCode !== null) return;
    this.child.kill('SIGKILL');
    await once(this.child, 'exit');
  }
}

/** The side of the worker: a table from question to handler. */
export function answerQuestions(handlers) {
  process.on('message', ({ question, value }) => {
    const handler = handlers[question];
    Promise.resolve(handler(value)).then(
      (result) => process.send({ value: result ?? null }),
      (error) => process.send({ problem: String(error?.stack ?? error) }),
    );
  });
  process.on('disconnect', () => process.exit(0));
}
