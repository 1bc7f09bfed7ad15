/**
 * Complete node whose store holds configurations that no operator can mean. Guards against a node that
 * ends or stops following the store, or that gives up the last good configuration for an odd one.
 */
import assert from 'node:assert/strict';
import { after, before, test } from 'node:test';
import { decodeConfiguration } from '../platform/decodeConfiguration/index.js';
import { parseJson } from '../src/process/parseJson/index.js';
import { serveSiteEndpoint, type SiteEndpoint } from '../standins/serveSiteEndpoint/index.js';
import type { SiteStore } from '../standins/serveSiteStore/index.js';
import {
  createPlatformConfiguration,
  MODEL_SERVICE,
  PLAIN_SERVICE,
  registerEndpoint,
  respondCompletely,
  sendCallerRequest,
  startNode,
  startStore,
  streamCompletely,
  waitFor,
  waitUntilReady,
  type TestNode,
} from './support/siteNodes/index.js';

/** JSON text of a number that is not what its field means. */
const ODD_NUMBERS = ['-1', '1e308', '1e400', '"7"', 'null', '"NaN"'];
/** Time in which a node has read a change, in milliseconds; what it reads later it reads as well. */
const READ_MILLISECONDS = 30;
const ODD_SIZES = ['0.5', '1e15'];
const DEPTH = 100_000;
const LAYERS = { from: 0, to: 4 };
const FAILURES = /"message":"(loop-failed|request-crashed)"/;

let store: SiteStore;
let node: TestNode;
const endpoints: SiteEndpoint[] = [];

/** Replaces the value at a path of a configuration by odd JSON text. */
function writeOdd(version: number, path: string, text: string): string {
  const configuration = structuredClone(createPlatformConfiguration(version));
  const steps = path.split('.');
  const field = steps.pop() ?? '';
  let parent = configuration as Record<string, unknown>;
  for (const step of steps) parent = parent[step] as Record<string, unknown>;
  parent[field] = '@odd@';
  return JSON.stringify(configuration).replace('"@odd@"', text);
}

const list = (parent: string, names: readonly string[], texts: readonly string[]) =>
  names.map((name) => [`${parent}.${name}`, texts] as const);
const ROUTE = 'routes.0';
const ENGINE = 'services.1.engine';
const DIVISORS = ['slots', 'stride', 'read_per_s', 'layer_mb', 'pipe_mbps'];

/** Odd JSON texts by the path of their field. */
const CASES: readonly (readonly [path: string, texts: readonly string[]])[] = [
  ['version', [...ODD_NUMBERS, '99.5', '1e16']],
  [`${ENGINE}.layers`, [...ODD_NUMBERS, ...ODD_SIZES]],
  ...list(ENGINE, [...DIVISORS, 'step_ms', 'kv_token_bytes'], ['-1', '1e400', '1e308', '"7"']),
  ...list(ENGINE, DIVISORS, ['0']),
  ...list(ROUTE, ['timeout_ms', 'slo_ms', 'priority', 'max_attempts'], ODD_NUMBERS),
  [`${ROUTE}.timeout_ms`, ['0']],
  [`${ROUTE}.max_attempts`, ['0', '0.5']],
  [`${ROUTE}.prefix`, ['7', '""', '"look"', '"/look"', '"look/"']],
  [`${ROUTE}.split`, ['[{"service":"booking","weight":-1}]', '{}', '7']],
  ...list('limits', ['max_header_bytes', 'max_body_bytes'], ODD_NUMBERS),
  ...list('limits', ['header_timeout_ms', 'idle_timeout_ms'], [...ODD_NUMBERS, '-100000']),
  ['tenants.0.name', ['7', 'null']],
  ['tenants.0.priority', ['-1', '1e308']],
  ['future', ['['.repeat(DEPTH)]],
  ['routes', ['['.repeat(DEPTH) + ']'.repeat(DEPTH), '{}', '7']],
];

function wait(milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}

async function checkServes(): Promise<void> {
  for (const path of ['/look/x', '/ask/x']) {
    const { status } = await sendCallerRequest({ address: node.callers, path });
    assert.equal(status, 200, path);
  }
}

function readVersion(): Promise<number> {
  return sendCallerRequest({ address: node.readiness, path: '/v1/status' }).then(
    ({ body }) => (JSON.parse(body) as { readonly version: number }).version,
  );
}

before(async () => {
  store = await startStore();
  for (const [id, service] of [
    ['plain', PLAIN_SERVICE],
    ['engine', MODEL_SERVICE],
  ] as const) {
    const handle = service === PLAIN_SERVICE ? respondCompletely : streamCompletely;
    const endpoint = await serveSiteEndpoint({ id, handle });
    endpoint.layers = LAYERS;
    endpoints.push(endpoint);
    registerEndpoint(store, endpoint, service, { layers: LAYERS });
  }
  store.put('op/config', createPlatformConfiguration(1));
  node = await startNode('node-1', store);
  await waitUntilReady(node);
});

after(async () => {
  await node.node.leave();
  await store.close();
  await Promise.all(endpoints.map((endpoint) => endpoint.crash()));
});

/** Lists odd configurations, each with a version of its own. */
function listCases(): { readonly name: string; readonly text: string }[] {
  const all = CASES.flatMap(([path, texts]) => texts.map((text) => ({ path, text })));
  return all.map(({ path, text }, index) => ({
    name: `${path} ${text.slice(0, 40)}`,
    text: writeOdd(2 + index, path, text),
  }));
}

test('decodes no configuration with a number that no operator can mean', () => {
  for (const { name, text } of listCases())
    assert.equal(decodeConfiguration(parseJson(text)), undefined, name);
});

test('a node goes on with the last good configuration, and takes the next one', async () => {
  const cases = listCases();
  for (const [index, { text }] of cases.entries()) {
    store.put('op/config', text);
    await wait(READ_MILLISECONDS);
    await checkServes();
    assert.equal(await readVersion(), 1, cases[index]?.name);
  }
  const next = cases.length + 2;
  store.put('op/config', createPlatformConfiguration(next));
  await waitFor('the next version is in force', async () => (await readVersion()) === next);
  await checkServes();
  assert.deepEqual(
    node.logs.filter((line) => FAILURES.test(line)),
    [],
  );
});
