// Starts the bundled program. Compiling its sources is a good part of a start, and all processes start at once after a loss
// of power: so the build leaves compiled code beside them, which V8 takes when its version and flags are the same.
const { existsSync, readFileSync } = require('node:fs');
const { join } = require('node:path');
const { Script } = require('node:vm');

const PROGRAM = join(__dirname, 'program.cjs');
const COMPILED = join(__dirname, 'program.compiled');

/** The program's exports, and the script that they come from. */
function load() {
  const source = readFileSync(PROGRAM, 'utf8');
  const cachedData = existsSync(COMPILED) ? readFileSync(COMPILED) : undefined;
  const script = new Script(source, { filename: PROGRAM, cachedData });
  if (script.cachedDataRejected === true)
    process.stderr.write(
      'jasminerouted: the compiled code does not fit this runtime, it starts more slowly\n',
    );
  const loaded = { exports: {} };
  script.runInThisContext()(loaded.exports, require, loaded);
  return { script, program: loaded.exports };
}

if (require.main === module) {
  load()
    .program.start()
    .catch((error) => {
      process.stderr.write(`jasminerouted: ${error?.stack ?? String(error)}\n`);
      process.exit(1);
    });
}

module.exports = { COMPILED, load };
