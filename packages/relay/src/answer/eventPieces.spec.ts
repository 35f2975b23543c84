import { describe, expect, it } from 'vitest';
import { EventPieces } from './eventPieces.js';

const push = (pieces: EventPieces, text: string): string =>
  Buffer.from(pieces.push(Buffer.from(text))).toString();

describe('event pieces', () => {
  it('gives out whole events only, bytes unchanged', () => {
    const pieces = new EventPieces();
    expect(push(pieces, 'weights: 3\nid: 0\ndata: a\n\nid: 1\nda')).toBe('weights: 3\nid: 0\ndata: a\n\n');
    expect(pieces.lastId).toBe(0);
    expect(push(pieces, 'ta: b\n')).toBe('');
    expect(push(pieces, '\n: note\n\n')).toBe('id: 1\ndata: b\n\n: note\n\n');
    expect(pieces.pending).toHaveLength(0);
  });

  it('refuses ids that do not grow', () => {
    // Symptom: a caller gets an event twice, or events of two answers mixed.
    // Sequence: a target repeats an event, or goes on with another one's stream.
    // Cause: bytes passed on without a look at their ids.
    const pieces = new EventPieces(4);
    expect(() => push(pieces, 'id: 4\ndata: a\n\n')).toThrow('event 4 after event 4');
    const others = new EventPieces();
    push(others, 'id: 1\ndata: a\n\n');
    expect(() => push(others, 'id: 0\ndata: a\n\n')).toThrow('event 0 after event 1');
  });

  it('refuses an event without an end', () => {
    const pieces = new EventPieces();
    expect(() => pieces.push(Buffer.alloc(1024 * 1024 + 1, 'x'))).toThrow('too large');
  });
});
