/** Settings of the commands: each a flag and an environment variable. */
import { isHostPort } from '@jasmineroute/core';
import { duration } from '@jasmineroute/document';
import * as z from 'zod';

/** For every command. */
export const outputSettings = z.object({
  output: z.enum(['text', 'json']).default('text').describe('Form of the output: text or json'),
});

/** For commands that talk to control instances. */
export const connectionSettings = outputSettings.extend({
  controls: z
    .string('it is needed')
    .transform((text) => text.split(',').map((address) => address.trim()))
    .pipe(z.array(z.string().refine(isHostPort, 'not a host:port')).min(1))
    .describe(
      'Control instances, host:port, comma-separated; the next one is asked when one does not answer',
    ),
  timeout: duration.prefault('15s').describe('How long to try in all, as in 500ms or 15s'),
  tlsCertificate: z.string().optional().describe('File with the certificate to show, PEM'),
  tlsKey: z.string().optional().describe("File with the certificate's key, PEM"),
  tlsAuthority: z.string().optional().describe('File with the authority that signed both sides, PEM'),
});

/** For `apply`. */
export const applySettings = connectionSettings.extend({
  // Any text: a fault would be reported with the value.
  key: z.string().optional().describe("The operator's key; other users can see flags, so better use a file"),
  keyFile: z.string().optional().describe('File with the operator\'s key; "-" for standard input'),
  operator: z
    .string()
    .optional()
    .describe('Who applies, as named in the document; by default the operator whose key it is'),
  baseVersion: z
    .string()
    .regex(/^\d{1,15}$/, 'not a whole number')
    .transform(BigInt)
    .optional()
    .describe('Version that the document replaces, 0 for none; by default the newest one'),
  applyId: z
    .string()
    .min(1)
    .max(128)
    .optional()
    .describe('Id of this wish to apply; with that of an earlier try, the answer to that one'),
});

/** For `get`. */
export const getSettings = connectionSettings.extend({
  version: z
    .string()
    .regex(/^\d{1,15}$/, 'not a whole number')
    .transform(BigInt)
    .optional()
    .describe('Version to print; by default the newest one'),
});

export type OutputSettings = z.output<typeof outputSettings>;
export type ConnectionSettings = z.output<typeof connectionSettings>;
export type ApplySettings = z.output<typeof applySettings>;
export type GetSettings = z.output<typeof getSettings>;
