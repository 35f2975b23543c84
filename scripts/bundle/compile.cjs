// Compiles the bundled programs ahead. To be run with the flags that they are started with: code that was compiled under
// others is not taken.
const { rmSync, writeFileSync } = require('node:fs');
const { resolve } = require('node:path');

const { ROLES, compiledOf, load } = require(resolve('target/jasminerouted.cjs'));

for (const role of ROLES) {
  rmSync(compiledOf(role), { force: true });
  const { script } = load(role);
  // What was never run is compiled when it is first called: so the code is kept once its modules were loaded.
  writeFileSync(compiledOf(role), script.createCachedData());
}
