import { describe, expect, it } from 'vitest';
import { EventFramer } from './eventFramer.js';

const push = (framer: EventFramer, text: string): string =>
  Buffer.from(framer.push(Buffer.from(text))).toString();

describe('the event framer', () => {
  it('returns only complete events, with unchanged bytes', () => {
    const framer = new EventFramer();
    expect(push(framer, 'weights: 3\nid: 0\ndata: a\n\nid: 1\nda')).toBe('weights: 3\nid: 0\ndata: a\n\n');
    expect(framer.lastId).toBe(0);
    expect(push(framer, 'ta: b\n')).toBe('');
    expect(push(framer, '\n: note\n\n')).toBe('id: 1\ndata: b\n\n: note\n\n');
    expect(framer.pending).toHaveLength(0);
  });

  it('rejects ids that do not increase', () => {
    // If ids were not checked, a caller could get an event twice or events of two answers mixed, when a target
    // repeats an event or continues another target's stream.
    const framer = new EventFramer(4);
    expect(() => push(framer, 'id: 4\ndata: a\n\n')).toThrow('event 4 after event 4');
    const others = new EventFramer();
    push(others, 'id: 1\ndata: a\n\n');
    expect(() => push(others, 'id: 0\ndata: a\n\n')).toThrow('event 0 after event 1');
  });

  it('rejects an event that exceeds the size limit', () => {
    const framer = new EventFramer();
    expect(() => framer.push(Buffer.alloc(1024 * 1024 + 1, 'x'))).toThrow('too large');
  });
});
