/**
 * TLS on the listeners, and mutual authentication of nodes. Guards against peers that are accepted
 * without a certificate or with a wrong key. The certificates are for tests only.
 */
import assert from 'node:assert/strict';
import { readFileSync } from 'node:fs';
import https from 'node:https';
import test from 'node:test';
import { createLifeCycle } from '../src/process/createLifeCycle/index.js';
import { listenHttp } from '../src/process/runtime/listenHttp/index.js';
import { createPeerLinks } from '../src/process/runtime/createPeerLinks/index.js';
import { servePeers } from '../src/process/runtime/servePeers/index.js';
import type { PeerMessage } from '../src/types/peer/index.js';
import { sleep } from '../bench/sleep/index.js';

const FOLDER = 'tests/certificates';
const TLS = {
  certificateFile: `${FOLDER}/node.pem`,
  keyFile: `${FOLDER}/node.key`,
  authorityFile: `${FOLDER}/authority.pem`,
};
const LISTENER = { host: '127.0.0.1', port: 0, tls: TLS, allowPlaintextBeyondLoopback: false };
const KEY = 'key-of-the-peers-in-tests';
const MESSAGE: PeerMessage = { kind: 'configurationTaken', from: 'node-1', offer: 'offer-1' };
const SETTLE_MILLISECONDS = 1_500;

test('a listener with a certificate serves HTTPS', async () => {
  const lifeCycle = createLifeCycle();
  const { certificateFile, keyFile } = TLS;
  const port = await listenHttp({
    name: 'callers',
    listener: { ...LISTENER, tls: { certificateFile, keyFile } },
    lifeCycle,
    requestTimeoutMilliseconds: 1_000,
    onRequest: (_request, response) => response.end('served'),
  });
  const ca = readFileSync(TLS.authorityFile);
  const body = await new Promise<string>((done, failed) => {
    https
      .get({ host: '127.0.0.1', port, ca, agent: false }, (response) => {
        response.on('data', (chunk: Buffer) => {
          done(chunk.toString('utf8'));
        });
      })
      .on('error', failed);
  });
  assert.equal(body, 'served');
  await lifeCycle.close();
});

async function sendPeerMessage(tls: typeof TLS | undefined, key: string) {
  const lifeCycle = createLifeCycle();
  const received: PeerMessage[] = [];
  let dropped = 0;
  const port = await servePeers({
    listener: LISTENER,
    key: KEY,
    lifeCycle,
    feed: (message) => received.push(message) > 0,
  });
  const links = createPeerLinks({
    key,
    tls,
    lifeCycle,
    onDropped: () => {
      dropped += 1;
    },
  });
  links.send(`127.0.0.1:${port.toString()}`, MESSAGE);
  for (
    let waited = 0;
    waited < SETTLE_MILLISECONDS * 2 && received.length + dropped === 0;
    waited += 50
  ) {
    await sleep(50);
  }
  await lifeCycle.close();
  return { received: received.length, dropped };
}

test('nodes with certificates of the same authority exchange messages', async () => {
  assert.deepEqual(await sendPeerMessage(TLS, KEY), { received: 1, dropped: 0 });
});

test('rejects messages of a node without a certificate or with a wrong key', async () => {
  assert.equal((await sendPeerMessage(undefined, KEY)).received, 0);
  assert.equal((await sendPeerMessage(TLS, 'another-key-of-sixteen')).received, 0);
});
