/** Certificates for tests of mutual TLS. */
import 'reflect-metadata';
import { webcrypto } from 'node:crypto';
import { mkdir, writeFile } from 'node:fs/promises';
import { join } from 'node:path';
import {
  BasicConstraintsExtension,
  PemConverter,
  SubjectAlternativeNameExtension,
  X509CertificateGenerator,
} from '@peculiar/x509';
import type { X509Certificate } from '@peculiar/x509';

const ALGORITHM = { name: 'ECDSA', namedCurve: 'P-256', hash: 'SHA-256' } as const;
const DAY_MS = 86_400_000;

/** Paths of one identity's PEM files. */
export interface Identity {
  readonly certificate: string;
  readonly key: string;
  readonly authority: string;
}

/** A certificate authority that lives in a test. */
export class Authority {
  private serial = 1;

  private constructor(
    private readonly certificate: X509Certificate,
    private readonly keys: webcrypto.CryptoKeyPair,
  ) {}

  static async create(name: string): Promise<Authority> {
    const keys = await webcrypto.subtle.generateKey(ALGORITHM, true, ['sign', 'verify']);
    const certificate = await X509CertificateGenerator.createSelfSigned({
      serialNumber: '01',
      name: `CN=${name}`,
      notBefore: new Date(Date.now() - DAY_MS),
      notAfter: new Date(Date.now() + DAY_MS),
      signingAlgorithm: ALGORITHM,
      keys,
      extensions: [new BasicConstraintsExtension(true, 1, true)],
    });
    return new Authority(certificate, keys);
  }

  /** Writes a new key and certificate for `name` into `folder`. */
  async issue(name: string, folder: string): Promise<Identity> {
    const keys = await webcrypto.subtle.generateKey(ALGORITHM, true, ['sign', 'verify']);
    this.serial += 1;
    const certificate = await X509CertificateGenerator.create({
      serialNumber: this.serial.toString(16).padStart(2, '0'),
      subject: `CN=${name}`,
      issuer: this.certificate.subject,
      notBefore: new Date(Date.now() - DAY_MS),
      notAfter: new Date(Date.now() + DAY_MS),
      signingAlgorithm: ALGORITHM,
      publicKey: keys.publicKey,
      signingKey: this.keys.privateKey,
      extensions: [new SubjectAlternativeNameExtension([{ type: 'dns', value: name }])],
    });
    const files = {
      certificate: join(folder, `${name}.crt`),
      key: join(folder, `${name}.key`),
      authority: join(folder, `${name}.authority.crt`),
    };
    const pkcs8 = await webcrypto.subtle.exportKey('pkcs8', keys.privateKey);
    await mkdir(folder, { recursive: true });
    await writeFile(files.authority, this.certificate.toString('pem'));
    await writeFile(files.key, PemConverter.encode(pkcs8, 'PRIVATE KEY'));
    await writeFile(files.certificate, certificate.toString('pem'));
    return files;
  }
}
