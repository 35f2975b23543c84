/** The version of the tool. */
import { readFileSync } from 'node:fs';
import * as z from 'zod';

const manifest = z.object({ version: z.string() });

const file = new URL('../../package.json', import.meta.url);

/** Version of this package. */
export const VERSION = manifest.parse(JSON.parse(readFileSync(file, 'utf8'))).version;
