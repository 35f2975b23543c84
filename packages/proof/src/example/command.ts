/** The commands of a shell block: as much of a shell's grammar as the pages use. */

/** One simple command. */
export interface ShellCommand {
  /** Variables set for this command only, by name. */
  readonly variables: Readonly<Record<string, string>>;
  readonly program: string;
  /** Arguments without quotes; redirections are left out. */
  readonly args: readonly string[];
}

/** A word in quotes or bare, an operator, a comment or a line break. */
const TOKEN =
  /\\\n|(?<comment>(?<=^|\s)#[^\n]*)|(?<operator>>>?|[|;&()\n]+)|(?<word>(?:'[^']*'|"[^"]*"|[^\s|;&()>'"])+)/gm;
const ASSIGNMENT = /^([A-Z_]+)=(.*)$/;

const unquoted = (word: string): string => word.replace(/'([^']*)'|"([^"]*)"/g, '$1$2');

/** Words of each simple command. @throws Error for what this grammar has no place for: nothing is passed over. */
function splitWords(text: string): string[][] {
  const rest = text.replace(TOKEN, '').trim();
  if (rest !== '') throw new Error(`cannot read ${JSON.stringify(rest)} in ${JSON.stringify(text)}`);
  const commands: string[][] = [[]];
  let isTarget = false;
  for (const { groups } of text.matchAll(TOKEN)) {
    if (groups?.operator !== undefined) {
      isTarget = groups.operator.startsWith('>');
      if (!isTarget) commands.push([]);
    }
    if (groups?.word === undefined) continue;
    if (!isTarget) commands.at(-1)?.push(unquoted(groups.word));
    isTarget = false;
  }
  return commands.filter((words) => words.length > 0);
}

function toCommand(words: readonly string[]): ShellCommand {
  const variables: Record<string, string> = {};
  const rest = [...words];
  for (let match = ASSIGNMENT.exec(rest[0] ?? ''); match !== null; match = ASSIGNMENT.exec(rest[0] ?? '')) {
    const [, name = '', value = ''] = match;
    variables[name] = value;
    rest.shift();
  }
  const [program = '', ...args] = rest;
  return { variables, program, args };
}

/** All commands of a block, in order. */
export const commandsOf = (text: string): ShellCommand[] => splitWords(text).map(toCommand);

/** Flags among arguments: "--name" of "--name value" and of "--name=value", and short ones. */
export const flagsOf = (args: readonly string[]): string[] =>
  args.filter((arg) => /^-{1,2}[a-zA-Z]/.test(arg)).map((arg) => arg.split('=')[0] ?? arg);
