import { describe, expect, it } from 'vitest';
import * as z from 'zod';
import { readSettings, settingsOf } from './setting.js';

const schema = z.object({
  dataCentre: z.string().min(1).default('local').describe('a name'),
  port: z.coerce.number().int().min(0).max(65_535).describe('0 to 65535'),
});

describe('settings', () => {
  it('have a flag and an environment variable each', () => {
    expect(settingsOf(schema)[0]).toEqual({
      key: 'dataCentre',
      flag: '--data-centre',
      variable: 'JASMINEROUTE_DATA_CENTRE',
      description: 'a name',
    });
  });

  it('take the flag before the variable and the variable before the default', () => {
    const read = readSettings(
      schema,
      { port: '1' },
      { JASMINEROUTE_PORT: '2', JASMINEROUTE_DATA_CENTRE: 'dehiwala' },
    );
    expect(read._unsafeUnwrap()).toEqual({ port: 1, dataCentre: 'dehiwala' });
  });

  it('report an invalid value in one line with the setting, the value and what is allowed', () => {
    const line = readSettings(schema, { port: '99999' }, {})._unsafeUnwrapErr();
    expect(line).toContain('--port (JASMINEROUTE_PORT) is "99999"');
    expect(line).toContain('Allowed: 0 to 65535');
    expect(line).not.toContain('\n');
  });

  it('report which setting is missing', () => {
    expect(readSettings(schema, {}, {})._unsafeUnwrapErr()).toContain(
      '--port (JASMINEROUTE_PORT) is not set',
    );
  });
});
