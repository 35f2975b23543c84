// Writes the pages that come from the code: docs/CONFIGURATION.md, docs/EVENTS.md and docs/METRICS.md.
// With --check it writes nothing and fails when a page differs from the code.
import { existsSync, readFileSync, readdirSync, writeFileSync } from 'node:fs';
import { pathToFileURL } from 'node:url';
import { resolve } from 'node:path';
import { format } from 'prettier';

const check = process.argv.includes('--check');
const load = (path) => import(pathToFileURL(resolve(path)).href);

async function catalogues(file, suffix) {
  const found = [];
  for (const name of readdirSync('packages').sort()) {
    const path = `packages/${name}/dist/${file}.js`;
    if (!existsSync(path)) continue;
    const exports = await load(path);
    for (const [key, value] of Object.entries(exports)) {
      if (key.endsWith(suffix)) found.push({ package: name, kinds: Object.entries(value) });
    }
  }
  return found;
}

async function eventsPage() {
  const rows = (await catalogues('events', 'Events')).flatMap((catalogue) =>
    catalogue.kinds.map(([name, kind]) => ({ package: catalogue.package, name, ...kind })),
  );
  rows.sort((a, b) => a.id - b.id);
  const twice = rows.filter((row, at) => at > 0 && rows[at - 1].id === row.id);
  if (twice.length > 0) throw new Error(`event ids given twice: ${twice.map((row) => row.id).join(', ')}`);
  const lines = rows.map(
    (row) => `| ${row.id} | ${row.level} | ${row.package} | ${row.name} | ${row.message} |`,
  );
  return `# Events\n\nEvery log line is JSON with an \`event\` number from this list. Written by \`npm run pages\`.\n\n| Number | Level | Package | Name | Message |\n| --- | --- | --- | --- | --- |\n${lines.join('\n')}\n`;
}

async function metricsPage() {
  const rows = (await catalogues('metrics', 'Metrics')).flatMap((catalogue) =>
    catalogue.kinds.map(
      ([, kind]) => `| \`jasmineroute.${kind.name}\` | ${kind.type} | ${catalogue.package} | ${kind.help} |`,
    ),
  );
  rows.sort();
  return `# Metrics\n\nSent as StatsD over UDP when \`--statsd\` is set, and served as text under /metrics when \`--metrics-port\` is set (dots are\nunderscores there), with the labels role, instance and data_centre. Written by \`npm run pages\`.\n\n| Metric | Type | Package | Meaning |\n| --- | --- | --- | --- |\n${rows.join('\n')}\n`;
}

async function configurationPage() {
  const { allSettings } = await load('packages/daemon/dist/command.js');
  const { documentReference } = await load('packages/document/dist/index.js');
  const sections = (await allSettings()).map(({ role, settings }) => {
    const rows = settings.map((one) => `| \`${one.flag}\` | \`${one.variable}\` | ${one.description} |`);
    return `### Settings of ${role}\n\n| Flag | Variable | Meaning |\n| --- | --- | --- |\n${rows.join('\n')}\n`;
  });
  return `# Configuration\n\nWritten by \`npm run pages\` from the schemas.\n\n## Process settings\n\nEvery setting is a flag and an environment variable; the flag wins. A wrong one ends the process with one line\nand exit code 2.\n\n${sections.join('\n')}\n## Service documents\n\n${documentReference()}\n`;
}

const pages = {
  'docs/EVENTS.md': eventsPage,
  'docs/METRICS.md': metricsPage,
  'docs/CONFIGURATION.md': configurationPage,
};

let stale = 0;
for (const [path, render] of Object.entries(pages)) {
  const text = await format(await render(), { parser: 'markdown', singleQuote: true, printWidth: 110 });
  const current = existsSync(path) ? readFileSync(path, 'utf8') : '';
  if (current === text) continue;
  if (check) {
    console.log(`${path} differs from the code: npm run pages`);
    stale += 1;
  } else {
    writeFileSync(path, text);
  }
}
process.exit(stale === 0 ? 0 : 1);
