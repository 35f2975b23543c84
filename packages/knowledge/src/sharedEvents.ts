/** Reads the events that a control instance sends to all followers alike. */
import { create, fromBinary } from '@bufbuild/protobuf';
import { controlMessage } from '@jasmineroute/protocol';

/** Entry name under which the work of all other entries is combined. */
const OTHER_ENTRIES = 'others';

/** The shared events inside an event, in order, without the work that the follower reported itself. */
export function readSharedEvents({
  shared,
  ownWork,
}: controlMessage.FollowEvent): controlMessage.FollowEvent[] {
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
  const others = targets.flatMap(({ targetId, tokens: total }) => {
    const tokens = total - (own.get(targetId) ?? 0);
    return tokens > 0 ? [create(controlMessage.TargetTokensSchema, { targetId, tokens })] : [];
  });
  return create(controlMessage.EntryWorkSchema, { entry: OTHER_ENTRIES, targets: others });
}
