/** Port to the protocol that callers and targets speak: names and formats, and nothing that decides. */
import type { IncomingMessage } from 'node:http';
import type { Fault } from '@jasmineroute/core';
import type { HeaderField } from '@jasmineroute/engine';
import type { Result } from 'neverthrow';

/** A part of a prompt. Requests that begin with the same parts share their cached blocks. */
export interface PromptPart {
  readonly id: string;
  readonly tokens: number;
}

/** What a request says of its prompt. */
export interface PromptOutline {
  readonly model: string;
  /** In order. The last part belongs to the request itself or to its session. */
  readonly parts: readonly PromptPart[];
  readonly promptTokens: number;
  readonly maxOutputTokens: number;
}

/** A caller's request, read. */
export interface RelayRequest {
  /** Unique for each attempt of a caller. */
  readonly id: string;
  readonly method: string;
  /** Path with query, as it was sent. */
  readonly path: string;
  readonly host: string;
  /** How long the caller waits, milliseconds. */
  readonly deadlineMs?: number;
  readonly key?: string;
  readonly prompt?: PromptOutline;
  /** Id of the last event that the caller has of an earlier stream. */
  readonly lastEventId?: string;
  /** Headers that pass on unchanged. */
  readonly headers: Readonly<Record<string, string>>;
}

/** What the system adds to a request that it sends to a target. */
export interface Addition {
  /** What is left of the deadline, milliseconds. */
  readonly deadlineMs: number;
  /** Only the target of this name may run the request. */
  readonly targetName: string;
  /** Only these weights may run it. */
  readonly weightsVersion?: number;
  /** Name of the customer. */
  readonly customer?: string;
  /** Cached blocks are found under the same salt only. */
  readonly cacheSalt?: string;
  /** Where the target may fetch cached blocks that it lacks, host:port. */
  readonly cacheSource?: string;
  /** Where the target keeps a copy of the blocks that it has read, host:port. */
  readonly cacheCopy?: string;
  /** 0 to 9; 0 is first. */
  readonly urgency?: number;
  /** Goes on after this event. */
  readonly lastEventId?: string;
}

/** Requests at a target, as it told. */
export interface ToldLoad {
  readonly running: number;
  readonly waiting: number;
}

/** What a target's answer says beside its content. */
export interface AnswerMarks {
  /** Id of the request that is answered. */
  readonly requestId?: string;
  /** The target states that it did not run the request and never will. */
  readonly notRun: boolean;
  /** Carries a target's signature, without which a success is none. */
  readonly signed: boolean;
  /** Name of the target that stands at the address, when it is another one than was asked for. */
  readonly otherTargetName?: string;
  readonly load?: ToldLoad;
}

/** A whole answer made here. */
export interface OwnAnswer {
  readonly status: number;
  readonly headers: readonly HeaderField[];
  readonly body: Uint8Array;
}

/** Reads and writes one protocol. */
export interface Dialect {
  readRequest(incoming: IncomingMessage): Result<RelayRequest, Fault>;
  /** Headers of the request to a target. */
  targetHeaders(request: RelayRequest, addition: Addition): Record<string, string>;
  readAnswer(status: number, headers: readonly HeaderField[]): AnswerMarks;
  /** Headers of a target's answer that the caller gets. */
  callerHeaders(headers: readonly HeaderField[]): HeaderField[];
  /** The answer to a request that failed here, with the status that was decided. */
  ownAnswer(status: number, fault: Fault, requestId: string | undefined): OwnAnswer;
}
