// Compiles the bundled program ahead. To be run with the flags that the program is started with: code that was compiled
// under others is not taken.
const { rmSync, writeFileSync } = require('node:fs');
const { resolve } = require('node:path');

const { COMPILED, load } = require(resolve('target/jasminerouted.cjs'));
rmSync(COMPILED, { force: true });
const { script, program } = load();

// What was never run is compiled when it is first called: so the roles are loaded before the code is kept.
program.loadRoles().then(() => {
  writeFileSync(COMPILED, script.createCachedData());
});
