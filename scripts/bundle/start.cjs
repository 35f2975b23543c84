// Starts the bundled program of the role that the first argument names. Compiling its sources is a good part of a start, and
// all processes start at once after a loss of power: so the build leaves compiled code beside them, which V8 takes when its
// version and flags are the same.
const { existsSync, readFileSync } = require('node:fs');
const { join } = require('node:path');
const { Script } = require('node:vm');

const ROLES = ['entry', 'control', 'agent'];

const compiledOf = (role) => join(__dirname, `${role}.compiled`);

/** The exports of a role's program, and the script that they come from. */
function load(role) {
  const filename = join(__dirname, `${role}.cjs`);
  const compiled = compiledOf(role);
  const cachedData = existsSync(compiled) ? readFileSync(compiled) : undefined;
  const script = new Script(readFileSync(filename, 'utf8'), { filename, cachedData });
  if (script.cachedDataRejected === true)
    process.stderr.write(
      'jasminerouted: the compiled code does not fit this runtime, it starts more slowly\n',
    );
  const loaded = { exports: {} };
  script.runInThisContext()(loaded.exports, require, loaded);
  return { script, program: loaded.exports };
}

if (require.main === module) {
  // Settings may change at any time: until the program listens for the signal itself, it would end the process.
  process.on('SIGHUP', () => undefined);
  const [, , role] = process.argv;
  if (!ROLES.includes(role)) {
    process.stderr.write(`jasminerouted: the role is one of ${ROLES.join(', ')}, not "${role}"\n`);
    process.exit(2);
  }
  load(role)
    .program.start()
    .catch((error) => {
      process.stderr.write(`jasminerouted: ${error?.stack ?? String(error)}\n`);
      process.exit(1);
    });
}

module.exports = { ROLES, compiledOf, load };
