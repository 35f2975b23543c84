import { Code, ConnectError } from '@connectrpc/connect';
import type { controlMessage } from '@jasmineroute/protocol';
import { afterEach, describe, expect, it } from 'vitest';
import { exitCodes } from '../exit/index.js';
import {
  ACCEPTED_AT,
  KEY,
  files,
  run,
  startControl,
  startPair,
  stopControls,
  text,
  version,
} from '../fixture/index.js';
import type { Documents, Run } from '../fixture/index.js';

afterEach(stopControls);

describe('apply', () => {
  const apply = (controls: string, more = ''): Promise<Run> =>
    run(`apply desk.yaml --key-file key --controls ${controls}${more}`, files);

  /** A control instance that keeps what it was asked. */
  function recording(answer: controlMessage.ApplyResponse['outcome']): {
    documents: Documents;
    requests: controlMessage.ApplyRequest[];
  } {
    const requests: controlMessage.ApplyRequest[] = [];
    const documents: Documents = {
      get: () => ({ document: version(4n), vouched: true }),
      apply: (request) => {
        requests.push(request);
        return { outcome: answer };
      },
    };
    return { documents, requests };
  }

  const accepted = {
    case: 'accepted',
    value: { version: 5n, revision: 15n },
  } as controlMessage.ApplyResponse['outcome'];

  it('replaces the newest version, in the name of the operator whose key it is', async () => {
    const { documents, requests } = recording(accepted);
    const result = await apply(await startControl(documents));
    expect(result).toEqual({
      code: 0,
      out: 'desk: accepted as version 5, in place of 4 (revision 15)\n',
      error: '',
    });
    expect(requests).toMatchObject([{ service: 'desk', text, baseVersion: 4n, operator: 'lead', key: KEY }]);
  });

  it('replaces the version it is told to', async () => {
    const { documents, requests } = recording(accepted);
    const { out } = await apply(
      await startControl(documents),
      ' --base-version 2 --apply-id x --output json',
    );
    expect(requests).toMatchObject([{ baseVersion: 2n, applyId: 'x' }]);
    expect(JSON.parse(out)).toEqual({
      outcome: 'accepted',
      service: 'desk',
      version: 5,
      revision: 15,
      baseVersion: 2,
      applyId: 'x',
    });
  });

  it('sends nothing that has a fault', async () => {
    const { documents, requests } = recording(accepted);
    const controls = await startControl(documents);
    const result = await run(`apply - --key-file key --controls ${controls}`, {
      ...files,
      '-': `${text}colour: red`,
    });
    expect(result).toMatchObject({ code: exitCodes.fault, out: '<stdin>:5: colour: is not a known field\n' });
    expect(requests).toEqual([]);
  });

  it('keeps the apply id when it sends again after a lost answer', async () => {
    // Symptom: an operator is told of a conflict with a version that is their own.
    // Sequence: the document is accepted, the answer is lost, the tool sends it again.
    // Cause: the second message looked like another wish.
    const { documents, requests } = recording(accepted);
    const lost: Documents = {
      apply: (request) => {
        requests.push(request);
        throw new ConnectError('connection lost', Code.Unavailable);
      },
    };
    const { controls } = await startPair(lost, documents);
    expect(await apply(controls, ' --base-version 4')).toMatchObject({ code: 0 });
    expect(requests).toHaveLength(2);
    expect(requests[1]).toEqual(requests[0]);
    expect(requests[0]?.applyId).not.toBe('');
  });

  it('tries the next instance when one has no quorum', async () => {
    const refusing = recording({
      case: 'rejected',
      value: { kind: 'no-quorum', message: 'cut off', problems: [] },
    } as unknown as controlMessage.ApplyResponse['outcome']);
    const { documents } = recording(accepted);
    const { controls, asked } = await startPair(refusing.documents, documents);
    expect(await apply(controls, ' --base-version 4')).toMatchObject({ code: 0 });
    expect(asked).toHaveLength(2);
    expect(new Set(asked).size).toBe(2);
  });

  it('names the winner of a conflict', async () => {
    const { documents } = recording({
      case: 'conflict',
      value: { version: 5n, operator: 'other', acceptedAtMs: ACCEPTED_AT },
    } as controlMessage.ApplyResponse['outcome']);
    const { code, out } = await apply(await startControl(documents));
    expect(code).toBe(exitCodes.conflict);
    expect(out).toContain('version 5 by other was accepted at 2026-12-01T10:00:00.000Z');
  });

  it('reports what control found', async () => {
    const { documents } = recording({
      case: 'rejected',
      value: {
        kind: 'invalid-document',
        message: 'clashes with other documents',
        problems: [{ path: 'routes.0', line: 0, message: 'is already a route of other' }],
      },
    } as unknown as controlMessage.ApplyResponse['outcome']);
    expect(await apply(await startControl(documents))).toEqual({
      code: exitCodes.fault,
      out:
        'desk.yaml: invalid-document: clashes with other documents\n' +
        'desk.yaml:4: routes.0: is already a route of other\n',
      error: '',
    });
  });

  it('says how to learn the outcome when every answer is lost', async () => {
    const documents: Documents = {
      apply: () => {
        throw new ConnectError('connection lost', Code.Unavailable);
      },
    };
    const controls = await startControl(documents);
    const { code, error } = await apply(controls, ' --base-version 4 --apply-id x --timeout 300ms');
    expect(code).toBe(exitCodes.unreachable);
    expect(error).toContain('may have been accepted');
    expect(error).toContain('--base-version 4 --apply-id x');
  });

  it('does not say that a document may have been accepted that was never sent', async () => {
    const gone = await startControl({});
    await stopControls();
    const { code, error } = await apply(gone, ' --base-version 4 --timeout 300ms');
    expect(code).toBe(exitCodes.unreachable);
    expect(error).not.toContain('may have been accepted');
  });

  it.each([
    ['a flag', '--key', {}],
    ['a joined flag', `--key=${KEY}`, {}],
    ['a variable', '', { JASMINEROUTE_KEY: KEY }],
    ['a file', '--key-file key', {}],
  ])('never prints a key from %s', async (_name, flag, environment: Record<string, string>) => {
    // Symptom: an operator's key stands in the log of a build.
    // Sequence: control refuses the request and quotes it in the error; the tool prints the error.
    // Cause: texts of others were printed as they came.
    const documents: Documents = {
      apply: (request) => {
        throw new ConnectError(
          `bad request ${JSON.stringify(request, (_, v: unknown) => (typeof v === 'bigint' ? 0 : v))}`,
          Code.InvalidArgument,
        );
      },
    };
    const words = [
      'apply desk.yaml',
      flag,
      flag === '--key' ? KEY : '',
      '--base-version 4',
      `--controls ${await startControl(documents)}`,
    ];
    for (const output of ['text', 'json']) {
      const line = [...words, `--output ${output}`].filter((word) => word !== '').join(' ');
      const { code, out, error } = await run(line, files, environment);
      expect(code).toBe(exitCodes.fault);
      expect(error).toContain('***');
      expect(out + error).not.toContain(KEY);
    }
  });
});
