/** Reads what a control instance tells all its followers alike. */
import { create, fromBinary } from '@bufbuild/protobuf';
import { controlMessage } from '@jasmineroute/protocol';

/** Under this name an entry hears the work of all others. */
const OTHERS = 'others';

/** The shared events of an event, in order, without the work that the follower told itself. */
export function readShared({ shared, ownWork }: controlMessage.FollowEvent): controlMessage.FollowEvent[] {
  const own = new Map(ownWork?.targets.map(({ targetId, tokens }) => [targetId, tokens]));
  return shared.map((bytes) => {
    const event = fromBinary(controlMessage.FollowEventSchema, bytes);
    return { ...event, work: event.work.map((work) => withoutOwn(work, own)) };
  });
}

function withoutOwn(
  { targets }: controlMessage.EntryWork,
  own: ReadonlyMap<string, number>,
): controlMessage.EntryWork {
  const others = targets.flatMap(({ targetId, tokens: all }) => {
    const tokens = all - (own.get(targetId) ?? 0);
    return tokens > 0 ? [create(controlMessage.TargetTokensSchema, { targetId, tokens })] : [];
  });
  return create(controlMessage.EntryWorkSchema, { entry: OTHERS, targets: others });
}
