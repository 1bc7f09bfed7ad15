/**
 * What operators see of callers that meet a limit. Guards against closed connections that nothing explains, and
 * against lines that a burst of such callers fills the log with.
 */
import assert from 'node:assert/strict';
import { connect } from 'node:net';
import { test } from 'node:test';
import { deriveCallerLimits } from '../src/connection/deriveCallerLimits/index.js';
import { sendCallerRequest, startNode, startStore, waitFor } from './support/siteNodes/index.js';

const CONNECTIONS = 3;
const REFUSED = 60;
/** Lines that may be written at once, and in the seconds that the test may take. */
const MAXIMUM_LINES = 20 + 2 * 10;

test('counts each closed connection, and writes a bounded number of lines and gauges', async () => {
  const store = await startStore();
  const callerLimits = deriveCallerLimits(
    { memoryBytes: 100_000_000, descriptors: 1_000 },
    { connectionsPerAddress: CONNECTIONS },
  );
  const node = await startNode('node-1', store, { callerLimits });
  const [host = '', port = ''] = node.callers.split(':');
  const sockets = Array.from({ length: CONNECTIONS + REFUSED }, () => {
    const socket = connect(Number(port), host);
    socket.on('error', () => undefined);
    return socket;
  });
  const readMetrics = async (): Promise<string> =>
    (await sendCallerRequest({ address: node.readiness, path: '/metrics' })).body;
  await waitFor('every further connection is counted', async () =>
    (await readMetrics()).includes(`marjoramcleat_caller_limits{label="address"} ${REFUSED}\n`),
  );
  const metrics = await readMetrics();
  assert.match(metrics, new RegExp(`marjoramcleat_caller_connections ${CONNECTIONS}\n`));
  assert.match(metrics, /marjoramcleat_caller_memory_bytes\{kind="body"\} 0\n/);
  const lines = node.logs.filter((line) => line.includes('"message":"caller-limited"'));
  assert.ok(lines.length > 0 && lines.length <= MAXIMUM_LINES, String(lines.length));
  assert.match(lines[0] ?? '', /"cause":"address"/);
  for (const socket of sockets) socket.destroy();
  await node.node.leave();
  await store.close();
});
