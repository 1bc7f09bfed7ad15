import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { PeerMessage } from '../../../types/peer/index.js';
import { createLifeCycle } from '../../createLifeCycle/index.js';
import { createPeerLinks } from './index.js';

const MESSAGE: PeerMessage = {
  kind: 'ping',
  sequence: 1,
  digest: 1,
  from: 'node-1',
  revision: 1,
  limits: [],
  members: [],
  facts: [],
};
const MESSAGES = 20;
/** Turns of the event loop after which the links are closed, in one case each. */
const TURNS = [0, 1, 2, 3, 4, 5, 8] as const;
/** A port of loopback on which nothing listens. */
const SILENT_ADDRESS = '127.0.0.1:1';

/** More turns than the goroutine of a link needs for all messages. */
const MOST_TURNS = 10 * MESSAGES;

async function passTurns(count: number): Promise<void> {
  for (let turn = 0; turn < count; turn += 1) await new Promise(setImmediate);
}

function openLinks() {
  const lifeCycle = createLifeCycle();
  let dropped = 0;
  const links = createPeerLinks({
    key: 'key',
    lifeCycle,
    onDropped: () => {
      dropped += 1;
    },
  });
  return { lifeCycle, links, countDropped: () => dropped };
}

for (const turns of TURNS) {
  test(`messages that wait when the links close after ${turns} turns are dropped`, async () => {
    const { lifeCycle, links, countDropped } = openLinks();
    for (let index = 0; index < MESSAGES; index += 1) links.send(SILENT_ADDRESS, MESSAGE);
    await passTurns(turns);
    await lifeCycle.close();
    // What a goroutine does with a closed link shows in later turns, as an uncaught exception.
    await passTurns(MOST_TURNS);
    assert.equal(countDropped(), MESSAGES);
  });
}

test('a message that is sent after the links closed is dropped and opens no link', async () => {
  const { lifeCycle, links, countDropped } = openLinks();
  await lifeCycle.close();
  links.send(SILENT_ADDRESS, MESSAGE);
  await passTurns(MOST_TURNS);
  assert.equal(links.count(), 0);
  assert.equal(countDropped(), 1);
});
