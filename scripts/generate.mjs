// Writes the message code from the proto files. The result is committed; the build does not run this.
import { execFileSync } from 'node:child_process';

for (const name of ['protocol', 'coordination']) {
  execFileSync('npx', ['buf', 'generate'], { cwd: `packages/${name}`, stdio: 'inherit' });
}
