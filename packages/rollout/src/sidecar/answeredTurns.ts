/** Turns whose source is watched for answers. */
import type { TurnSource } from '@jasmineroute/agent';

/** Passes requests on, and keeps whether the last one for a turn was answered, granted or not. */
export class AnsweredTurns implements TurnSource {
  /** Whether the last request for a turn was answered; true before the first one. */
  isAnswered = true;

  constructor(private readonly source: TurnSource) {}

  take: TurnSource['take'] = async (request, timeoutMs) => {
    const answer = await this.source.take(request, timeoutMs);
    this.isAnswered = answer.isOk();
    return answer;
  };

  release: TurnSource['release'] = (request, timeoutMs) => this.source.release(request, timeoutMs);
}
