/** Output of problems in documents. */
import { problemText } from '@jasmineroute/document';
import type { Problem } from '@jasmineroute/document';

/** Lines as compilers write them, "file:line: path: message", so that editors can jump to them. */
export function formatProblems(file: string, problems: readonly Problem[]): string {
  return problems.map((problem) => `${formatProblem(file, problem)}\n`).join('');
}

function formatProblem(file: string, problem: Problem): string {
  const place = problem.line === 0 ? file : `${file}:${problem.line}`;
  return `${place}: ${problemText({ ...problem, line: 0 })}`;
}
