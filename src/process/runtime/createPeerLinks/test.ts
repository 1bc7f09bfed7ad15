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
/** Turns of the event loop before the links are closed; one test case each. */
const TURNS_BEFORE_CLOSE = [0, 1, 2, 3, 4, 5, 8] as const;
/** Loopback address without a listener. */
const CLOSED_PORT_ADDRESS = '127.0.0.1:1';

/** Upper limit of the turns that the goroutine of a link needs for all messages. */
const MAXIMUM_TURNS = 10 * MESSAGES;

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

for (const turns of TURNS_BEFORE_CLOSE) {
  test(`drops queued messages when the links close after ${turns} turns`, async () => {
    const { lifeCycle, links, countDropped } = openLinks();
    for (let index = 0; index < MESSAGES; index += 1) links.send(CLOSED_PORT_ADDRESS, MESSAGE);
    await passTurns(turns);
    await lifeCycle.close();
    // A goroutine that uses a closed link raises an uncaught exception in a later turn.
    await passTurns(MAXIMUM_TURNS);
    assert.equal(countDropped(), MESSAGES);
  });
}

test('drops a message sent after closing and opens no link', async () => {
  const { lifeCycle, links, countDropped } = openLinks();
  await lifeCycle.close();
  links.send(CLOSED_PORT_ADDRESS, MESSAGE);
  await passTurns(MAXIMUM_TURNS);
  assert.equal(links.count(), 0);
  assert.equal(countDropped(), 1);
});
