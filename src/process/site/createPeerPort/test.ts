import assert from 'node:assert/strict';
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
