/** Key material of a process, from its settings. */
import { TlsStore, checkTls } from '@jasmineroute/protocol';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { DaemonSettings } from '../setting/index.js';

/** Opens the key material, or undefined where none is set. The error is one line for the operator. */
export async function openTls(settings: DaemonSettings): Promise<Result<TlsStore | undefined, string>> {
  const { tlsCertificate, tlsKey, tlsAuthority } = settings;
  if (tlsCertificate === undefined && tlsKey === undefined && tlsAuthority === undefined)
    return ok(undefined);
  if (tlsCertificate === undefined || tlsKey === undefined || tlsAuthority === undefined) {
    return err('--tls-certificate, --tls-key and --tls-authority go together: set all three or none');
  }
  const files = { certificate: tlsCertificate, key: tlsKey, authority: tlsAuthority };
  try {
    return ok(await TlsStore.open(files, checkTls));
  } catch (error) {
    return err(
      `--tls-certificate, --tls-key, --tls-authority: ${error instanceof Error ? error.message : String(error)}`,
    );
  }
}
