/**
 * Requests that another node hands over after it has applied a newer configuration. Guards against a request that the
 * neighbour handles as only an older version allows.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { createSiteProtocol } from '../platform/createSiteProtocol/index.js';
import { createNeighbourPort } from '../src/process/relay/createNeighbourPort/index.js';
import type { ResponseHead } from '../src/types/relay/index.js';
import { serveSiteEndpoint } from '../standins/serveSiteEndpoint/index.js';
import {
  createPlatformConfiguration,
  KEY,
  PLAIN_SERVICE,
  registerEndpoint,
  respondCompletely,
  startNode,
  startStore,
  waitFor,
  waitUntilReady,
} from './support/siteNodes/index.js';

const PORT = createNeighbourPort({ node: 'node-2', translator: createSiteProtocol() });
const REQUEST = {
  method: 'GET',
  url: '/look/one',
  rawHeaders: ['Host', 'desk.example', 'Attempt-Id', 'attempt-1', 'Credential', KEY],
  body: undefined,
};

/** Hands a request over that a version has admitted; resolves to the head of the response. */
function handOver(address: string, configurationVersion: number): Promise<ResponseHead> {
  const common = { attempt: 'attempt-1', deadlineMilliseconds: 5_000, isRepeat: false };
  return new Promise((resolve, reject) => {
    PORT.send(
      REQUEST,
      { ...common, address, configurationVersion },
      {
        onHead: resolve,
        onData: () => undefined,
        onEnd: () => undefined,
        onFailure: (_, reason) => {
          reject(new Error(reason));
        },
      },
    );
  });
}

test('a node refuses a request of a configuration that it does not have yet, without running it', async (context) => {
  const store = await startStore();
  let received = 0;
  const endpoint = await serveSiteEndpoint({
    id: 'plain-1',
    handle: (request, response, served) => {
      received += 1;
      respondCompletely(request, response, served);
    },
  });
  registerEndpoint(store, endpoint, PLAIN_SERVICE);
  store.put('op/config', createPlatformConfiguration(1));
  const node = await startNode('node-1', store);
  await waitUntilReady(node);
  context.after(async () => {
    await node.node.leave();
    await Promise.all([endpoint.crash(), store.close()]);
  });
  const refused = await handOver(node.peers, 2);
  assert.deepEqual([refused.status, refused.metadata.isNotExecuted, received], [503, true, 0]);
  assert.equal((await handOver(node.peers, 1)).status, 200);
  store.put('op/config', createPlatformConfiguration(2));
  await waitFor(
    'the node applies the second version',
    async () => (await handOver(node.peers, 2)).status === 200,
  );
});
