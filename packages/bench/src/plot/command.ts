/** `jasminebench plot`. */
import { readFileSync, writeFileSync } from 'node:fs';
import { basename } from 'node:path';
import type { Command } from 'commander';
import { resultsFile } from '../experiment/index.js';
import { panelsOf } from './series.js';
import type { NamedResults } from './series.js';
import { drawSvg } from './svg.js';
import { drawText } from './terminal.js';

const readResults = (path: string): NamedResults => ({
  name: basename(path, '.json'),
  file: resultsFile.parse(JSON.parse(readFileSync(path, 'utf8'))),
});

/** Adds the command. */
export function addPlot(program: Command): void {
  program
    .command('plot <file...>')
    .description('compare saved experiments: bars in the terminal, and an SVG picture')
    .option('--svg <path>', 'write the picture here')
    .action((files: string[], { svg }: { svg?: string }) => {
      const panels = panelsOf(files.map(readResults));
      process.stdout.write(drawText(panels));
      if (svg === undefined) return;
      writeFileSync(svg, drawSvg(panels));
      process.stdout.write(`picture in ${svg}\n`);
    });
}
