import assert from 'node:assert/strict';
import { createSocket } from 'node:dgram';
import { test } from 'node:test';
import { createLifeCycle } from '../../createLifeCycle/index.js';
import { createPeerPort } from './index.js';

for (const address of ['127.0.0.1:99999', '127.0.0.1:0', '127.0.0.1', 'nowhere:1', '']) {
  test(`a message to the address '${address}' is lost, and does not end the process`, async () => {
    const lifeCycle = createLifeCycle();
    const port = await createPeerPort({
      address: '127.0.0.1:0',
      lifeCycle,
      onMessage: () => undefined,
      onFailure: () => undefined,
    });
    port.send(address, Buffer.from('a'));
    assert.equal(await port.sendRequest(address, {} as never), undefined);
    await lifeCycle.close();
  });
}
async function findFreePort(): Promise<number> {
  const socket = createSocket('udp4');
  await new Promise<void>((resolve) => socket.bind(0, '127.0.0.1', resolve));
  const { port } = socket.address();
  socket.close();
  return port;
}

function createNode(peerAddress: string) {
  return {
    name: 'node-2',
    availabilityZone: 'mission',
    callerAddress: peerAddress,
    peerAddress,
    incarnation: 1,
    isLeaving: false,
  };
}

/** Guards against nodes that end because the record of another node names a port out of range. */
test('a message to an address that is out of range is lost, and later ones arrive', async () => {
  const lifeCycle = createLifeCycle();
  const received: string[] = [];
  const address = `127.0.0.1:${await findFreePort()}`;
  const port = await createPeerPort({
    address,
    lifeCycle,
    onMessage: (bytes) => received.push(Buffer.from(bytes).toString()),
    onFailure: (error) => {
      throw error;
    },
  });
  for (const odd of ['127.0.0.1:99999', '127.0.0.1:0', '127.0.0.1', '']) {
    port.send(odd, Buffer.from('lost'));
    const request = { version: 1, revision: 1, isReachable: true, node: createNode(odd) };
    assert.equal(await port.sendRequest(odd, request), undefined);
  }
  const sent = setInterval(() => {
    port.send(address, Buffer.from('kept'));
  }, 20);
  while (received.length === 0) await new Promise((resolve) => setTimeout(resolve, 10));
  clearInterval(sent);
  assert.equal(received[0], 'kept');
  await lifeCycle.close();
});
