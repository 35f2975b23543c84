import { create, toBinary } from '@bufbuild/protobuf';
import { controlMessage } from '@jasmineroute/protocol';
import { describe, expect, it } from 'vitest';
import { readSharedEvents } from './sharedEvents.js';

const { EntryWorkSchema, FollowEventSchema } = controlMessage;

describe('events that all followers get alike', () => {
  // Guards against an entry that counts its own work twice, once as that of others.
  it('hold only the work of other entries', () => {
    const all = create(EntryWorkSchema, {
      entry: 'all',
      targets: [
        { targetId: 'shared', tokens: 900 },
        { targetId: 'own', tokens: 300 },
        { targetId: 'other', tokens: 50 },
      ],
    });
    const ownWork = create(EntryWorkSchema, {
      entry: 'e1',
      targets: [
        { targetId: 'shared', tokens: 200 },
        { targetId: 'own', tokens: 300 },
      ],
    });
    const bytes = toBinary(FollowEventSchema, create(FollowEventSchema, { work: [all] }));
    const [event] = readSharedEvents(create(FollowEventSchema, { shared: [bytes], ownWork }));
    expect(event?.work).toEqual([
      create(EntryWorkSchema, {
        entry: 'others',
        targets: [
          { targetId: 'shared', tokens: 700 },
          { targetId: 'other', tokens: 50 },
        ],
      }),
    ]);
  });
});
