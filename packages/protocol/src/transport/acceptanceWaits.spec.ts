/** Times for which connections to an address are kept, over several of them. */
import { EventEmitter } from 'node:events';
import type { Socket } from 'node:net';
import { ManualClock } from '@jasmineroute/core';
import { beforeEach, describe, expect, it } from 'vitest';
import { Acceptance } from './acceptance.js';

class StandInSocket extends EventEmitter {
  destroyed = false;
  bytesRead = 0;
}

describe('the time for which a connection is kept', () => {
  let clock: ManualClock;
  let acceptance: Acceptance;

  beforeEach(() => {
    clock = new ManualClock();
    acceptance = new Acceptance(clock);
  });

  function open(): StandInSocket {
    const socket = new StandInSocket();
    acceptance.watch(socket as unknown as Socket);
    socket.emit('connect');
    return socket;
  }

  // Guards against a long wait that outlasts its cause, where the connection that was answered was closed by the other side.
  it('is the shortest again after a connection that was answered', async () => {
    for (let round = 0; round < 3; round += 1) {
      open();
      await clock.advance(5_000);
      acceptance.giveUp();
    }
    const answered = open();
    answered.bytesRead = 100;
    answered.destroyed = true;
    open();
    await clock.advance(1_500);
    expect(acceptance.isPending()).toBe(false);
  });

  // Guards against the connection in use that is dropped, as the library had begun a second one that was aborted.
  it('is that of the connection in use where a second one was begun and aborted', async () => {
    open();
    const second = new StandInSocket();
    acceptance.watch(second as unknown as Socket);
    second.destroyed = true;
    await clock.advance(500);
    expect(acceptance.isPending()).toBe(true);
  });
});
