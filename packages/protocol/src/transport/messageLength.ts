/**
 * Content length of unary messages, sent and required on both sides. The runtime ends the request of a cancelled stream before
 * it resets the stream, so the end of the stream does not show that a message is complete, or was sent at all. With a content
 * length, HTTP/2 rejects a message that ends too early. Messages of streams are framed, each with its own length.
 */
import { toBinary } from '@bufbuild/protobuf';
import type { Interceptor } from '@connectrpc/connect';
import { fault } from '@jasmineroute/core';
import { errorOf } from './faultError.js';

const LENGTH = 'content-length';

/** Client side: sends the length of requests, and accepts only responses with a length. */
export const sendLength: Interceptor = (next) => async (request) => {
  if (request.stream) return next(request);
  const { length } = toBinary(request.method.input, request.message);
  request.header.set(LENGTH, length.toString());
  const response = await next(request);
  if (!response.header.has(LENGTH)) {
    throw errorOf(fault('target-lost', 'an answer without a content-length may be a part of one'));
  }
  return response;
};

/** Server side: accepts only requests with a length. */
export const requireLength: Interceptor = (next) => (request) => {
  if (!request.stream && !request.header.has(LENGTH)) {
    throw errorOf(fault('invalid-request', 'a request without a content-length may be a part of one'));
  }
  return next(request);
};
