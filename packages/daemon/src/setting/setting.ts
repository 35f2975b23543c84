/** Settings that every role has. */
import { isHostPort } from '@jasmineroute/core';
import * as z from 'zod';

const optionalText = z.string().min(1).optional();

const port = z.coerce.number().int().min(0).max(65_535);

const listOfAddresses = z
  .string()
  .transform((text) => text.split(',').filter((part) => part !== ''))
  .pipe(z.array(z.string().refine(isHostPort, 'not host:port')));

/** Schema of the settings that every role has. */
export const daemonSettings = z.object({
  role: z.enum(['entry', 'agent', 'control']).describe('what the process does: entry, agent or control'),
  name: z
    .string()
    .regex(/^[a-z0-9][a-z0-9._-]{0,62}$/, 'not a name')
    .describe('name of the instance, unique: lower-case letters, digits, ".", "_" and "-", 1 to 63 long'),
  dataCentre: z.string().min(1).default('local').describe('data centre that the instance stands in'),
  host: z.string().min(1).default('127.0.0.1').describe('address to listen on for other processes'),
  port: port.default(0).describe('port to listen on for other processes; 0 takes a free one'),
  advertise: optionalText.describe(
    'host:port that other processes reach this one at; by default where it listens',
  ),
  sourceAddress: optionalText.describe(
    'own IP address that connections to other processes leave from, on instances with several; by default the system chooses',
  ),
  healthPort: port
    .default(0)
    .describe('port of /healthz and /readyz of agents and control instances; 0 takes a free one'),
  controls: listOfAddresses.default([]).describe('control instances, host:port,host:port'),
  dataFolder: optionalText.describe(
    'folder for state that lasts; agents and entries do without when it is not set',
  ),
  logLevel: z.enum(['debug', 'info', 'warn', 'error']).default('info').describe('debug, info, warn or error'),
  logStream: z
    .enum(['stderr', 'stdout'])
    .default('stderr')
    .describe(
      'stderr writes each line at once; stdout gathers lines, and drops some rather than wait for a reader',
    ),
  statsd: z
    .string()
    .refine(isHostPort, 'not host:port')
    .optional()
    .describe('host:port of a StatsD daemon; no metrics when it is not set'),
  metricsPort: port
    .optional()
    .describe('port that serves the metrics as text under /metrics; not served when it is not set'),
  otlpUrl: z.url().optional().describe('URL of an OTLP/HTTP trace collector; no traces when it is not set'),
  tlsCertificate: optionalText.describe(
    'PEM file with the certificate for other processes; needs tls-key and tls-authority',
  ),
  tlsKey: optionalText.describe('PEM file with the key of tls-certificate'),
  tlsAuthority: optionalText.describe('PEM file with the authority that signs all processes'),
});

/** Settings that every role has. */
export type DaemonSettings = z.output<typeof daemonSettings>;
