/**
 * Interface to the HTTP protocol of callers and targets. It defines names and formats, and makes no routing
 * decisions.
 */
import type { IncomingMessage } from 'node:http';
import type { Fault } from '@jasmineroute/core';
import type { HeaderField } from '@jasmineroute/engine';
import type { Result } from 'neverthrow';
import type { PackedFields } from './packedFields.js';

/** A part of a prompt. Requests that begin with the same parts share their cached blocks. */
export interface PromptPart {
  readonly id: string;
  readonly tokens: number;
}

/** Description of a request's prompt. */
export interface PromptOutline {
  readonly model: string;
  /** Parts in order. The last part belongs to the request itself or to its session. */
  readonly parts: readonly PromptPart[];
  readonly promptTokens: number;
  readonly maxOutputTokens: number;
}

/** Ids of the parts of a prompt that other requests may share, each once: all but the last one. */
export const sharedPartIds = (prompt: PromptOutline | undefined): string[] => [
  ...new Set(prompt?.parts.slice(0, -1).map(({ id }) => id)),
];

/** A parsed request of a caller. */
export interface RelayRequest {
  /** Unique for each attempt of a caller. */
  readonly id: string;
  readonly method: string;
  /** Path with query, as sent by the caller. */
  readonly path: string;
  readonly host: string;
  /** The caller's timeout, milliseconds. */
  readonly deadlineMs?: number;
  readonly key?: string;
  readonly prompt?: PromptOutline;
  /** Id of the last event that the caller received from an earlier stream. */
  readonly lastEventId?: string;
  /** Id of the request whose answer began the stream that this request resumes. */
  readonly resumes?: string;
  /** Fields that are forwarded unchanged. */
  readonly fields: PackedFields;
}

/** Fields that the relay adds to a request before it sends it to a target. */
export interface AddedFields {
  /** Time left until the deadline, milliseconds. */
  readonly deadlineMs: number;
  /** Name of the target that may run the request; any other refuses it. */
  readonly targetName: string;
  /** Version of the weights that may run the request; a target with another version refuses it. */
  readonly weightsVersion?: number;
  /** Name of the customer. */
  readonly customer?: string;
  /** Salt of the cached blocks; blocks under another salt are not found. */
  readonly cacheSalt?: string;
  /** Address from which the target may fetch cached blocks that it lacks, host:port. */
  readonly cacheSource?: string;
  /** Address to which the target copies the blocks that it has read, host:port. */
  readonly cacheCopy?: string;
  /** 0 to 9; 0 is the most urgent. */
  readonly urgency?: number;
  /** Id of the event after which the stream resumes. */
  readonly lastEventId?: string;
}

/** Number of requests at a target, as reported by it. */
export interface ReportedLoad {
  readonly running: number;
  readonly waiting: number;
}

/** Metadata of a target's answer. */
export interface AnswerMetadata {
  /** Id of the answered request. */
  readonly requestId?: string;
  /** Whether the target states that it did not and will not run the request. */
  readonly notRun: boolean;
  /** Whether the answer has a target's signature, which a successful answer requires. */
  readonly signed: boolean;
  /** Name of the target at this address, if it is not the requested one. */
  readonly otherTargetName?: string;
  readonly load?: ReportedLoad;
}

/** A complete answer created by the relay itself. */
export interface LocalAnswer {
  readonly status: number;
  readonly headers: readonly HeaderField[];
  readonly body: Uint8Array;
}

/** Reads and writes the messages of one protocol. */
export interface Dialect {
  readRequest(incoming: IncomingMessage): Result<RelayRequest, Fault>;
  /** Header fields of the request to a target, names and values by turns. */
  targetHeaders(request: RelayRequest, addedFields: AddedFields): string[];
  readAnswer(status: number, headers: readonly HeaderField[]): AnswerMetadata;
  /** Headers of a target's answer that are forwarded to the caller. */
  callerHeaders(headers: readonly HeaderField[]): HeaderField[];
  /** The answer to a request that failed in the relay, with the given status. */
  localAnswer(status: number, fault: Fault, requestId: string | undefined): LocalAnswer;
}
