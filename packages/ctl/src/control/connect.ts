/** Opens connections as the settings say. */
import { fault } from '@jasmineroute/core';
import type { Fault } from '@jasmineroute/core';
import { Peers, TlsStore, checkTls } from '@jasmineroute/protocol';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { ConnectionSettings } from '../setting/index.js';

/** Connections and the files they watch. */
export interface Connection {
  readonly peers: Peers;
  close(): void;
}

/** Makes the connections, with mutual TLS when its three files are named. */
export async function openConnection(settings: ConnectionSettings): Promise<Result<Connection, Fault>> {
  const { tlsCertificate, tlsKey, tlsAuthority } = settings;
  if (tlsCertificate === undefined && tlsKey === undefined && tlsAuthority === undefined) {
    return ok(connectionOf(undefined));
  }
  if (tlsCertificate === undefined || tlsKey === undefined || tlsAuthority === undefined) {
    const message = '--tls-certificate, --tls-key and --tls-authority are given together or not at all';
    return err(fault('invalid-request', message));
  }
  const files = { certificate: tlsCertificate, key: tlsKey, authority: tlsAuthority };
  try {
    return ok(connectionOf(await TlsStore.open(files, checkTls)));
  } catch (cause) {
    return err(fault('invalid-request', `the TLS files can't be used: ${String(cause)}`, { cause }));
  }
}

function connectionOf(tls: TlsStore | undefined): Connection {
  const peers = new Peers(tls);
  return {
    peers,
    close: () => {
      peers.close();
      tls?.close();
    },
  };
}
