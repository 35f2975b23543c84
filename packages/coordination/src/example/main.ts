/** Runs the example: `node packages/coordination/dist/example/main.js [folder]`. */
import { mkdtemp } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { chooseAddresses, countWord, startReplica } from './embed.js';

const folder = process.argv[2] ?? (await mkdtemp(join(tmpdir(), 'word-counter-')));
const addresses = await chooseAddresses(['a', 'b', 'c']);
const replicas = await Promise.all(addresses.map((address) => startReplica(address, addresses, folder)));
for (const replica of replicas) {
  const count = await countWord(replica, 'jasmine');
  process.stdout.write(`${replica.log.status().name}: ${count}\n`);
}
await Promise.all(replicas.map((replica) => replica.stop()));
