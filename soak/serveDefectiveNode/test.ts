/**
 * Runs the checks on a node with one planted defect, and on a correct one, to guard against checks that detect only
 * hand-written records.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { sleep } from '../../bench/sleep/index.js';
import { createRandom } from '../../src/process/createRandom/index.js';
import { serveSiteStore, type SiteStore } from '../../standins/serveSiteStore/index.js';
import {
  ACCELERATOR_KIND,
  MODEL_SERVICE,
  PLAIN_SERVICE,
  SOAK_HOST,
  SOAK_API_KEY,
} from '../createConfiguration/index.js';
import { createRecord } from '../createRecord/index.js';
import {
  createSoakEndpoint,
  type EndpointMode,
  type SoakEndpoint,
} from '../createSoakEndpoint/index.js';
import { createProxy, type LinkProxy } from '../createProxy/index.js';
import { findViolations } from '../findViolations/index.js';
import { createCallers } from '../createCallers/index.js';
import { SOAK_BOUNDS } from '../runSoak/index.js';
import type { FollowerDefect } from '../createDefectiveFollower/index.js';
import { createOperator, type Operator } from '../createOperator/index.js';
import { restoreStore } from '../restoreStore/index.js';
import { serveOddAddress } from '../serveOddAddress/index.js';
import type { SoakRecord } from '../types/index.js';
import { watchVersions } from '../watchVersions/index.js';
import { writeOddEntries } from '../writeOddEntries/index.js';
import { serveDefectiveNode, type Defect } from './index.js';

const ATTEMPT_MILLISECONDS = 1_500;
const RUN_MILLISECONDS = 900;
/** Run time for backoff and shutdown defects; longer than the drain time that the bounds allow. */
const LONG_RUN_MILLISECONDS = 3_600;
/** Time after which a run ends on a busy machine, whether it shows the defect or not. */
const SLOW_RUN_MILLISECONDS = 30_000;
const CALLERS = 4;
const BOUNDS = {
  ...SOAK_BOUNDS,
  events: 4,
  attemptMilliseconds: ATTEMPT_MILLISECONDS,
  // On a busy machine, callers send too few requests to exceed a larger slack.
  retrySlack: 2,
  contactMilliseconds: 300,
};
const RESTORATION_BOUNDS = {
  ...BOUNDS,
  noticeMilliseconds: 300,
  drainMilliseconds: 300,
  applyMilliseconds: 700,
  contactApplyMilliseconds: 700,
};
const COPY_AGE_MILLISECONDS = 200;
/** Changes that the restoration loses; more than the writers write again. */
const LOST_CHANGES = 8;
const PROBE_MILLISECONDS = 500;
/** Choices that take each short odd entry about once, and time for which these stand. */
const ODD_CHOICES = Array.from({ length: 120 }, (_, index) => index / 120);
const ODD_MILLISECONDS = 1_500;
/** Choice of a configuration that only lacks sound limits. */
const ODD_CONFIGURATION_CHOICE = 7.5 / 17;
/** Time for which an endpoint is down after a crash. */
const CRASHED_MILLISECONDS = 60;
/** Time for which an endpoint runs before it crashes in the middle of its responses. */
const CRASH_PAUSE_MILLISECONDS = 150;

interface PlantedDefect {
  readonly defect: Defect;
  /** How the endpoints handle requests. */
  readonly mode?: EndpointMode;
  readonly milliseconds?: number;
  /** Share of streams that crash the endpoint. */
  readonly crashingShare?: number;
  /** Whether endpoints send responses without framing, and crash in the middle of them. */
  readonly endsUnframed?: boolean;
}

/** Components of a run with a node that follows a store. */
interface FollowedSite {
  readonly store: SiteStore;
  /** Link between the node and the store. */
  readonly storeLink: LinkProxy;
  readonly record: SoakRecord;
  readonly now: () => number;
  readonly operator: Operator;
  readonly model: SoakEndpoint;
  readonly writers: readonly SoakEndpoint[];
}

/**
 * Runs callers against a node that follows a store, and returns the promises that the checks report as broken.
 */
async function findBrokenByFollower(
  followerDefect: FollowerDefect,
  disturb: (site: FollowedSite) => Promise<void>,
): Promise<string[]> {
  const record = createRecord();
  const now = (): number => performance.now();
  const store = await serveSiteStore(0);
  const common = { availabilityZone: 'zone-1', events: BOUNDS.events, store, record, now };
  const plain = await createSoakEndpoint({
    ...common,
    id: 'plain-0',
    service: PLAIN_SERVICE,
    acceleratorKind: undefined,
    isServing: () => true,
  });
  const model = await createSoakEndpoint({
    ...common,
    id: 'engine-0',
    service: MODEL_SERVICE,
    acceleratorKind: ACCELERATOR_KIND,
    isServing: () => true,
  });
  const writers = [plain, model];
  for (const writer of writers) await writer.start();
  const timeoutMilliseconds = ATTEMPT_MILLISECONDS;
  const operator = createOperator({ store, record, now, timeoutMilliseconds });
  operator.changeConfiguration();
  const storeLink = await createProxy(store.address);
  const followed = { address: storeLink.address, defect: followerDefect };
  const node = await serveDefectiveNode({ defect: 'none', plain, model, now, followed });
  const target = { node: 'node-0', address: node.address };
  const callers = createCallers({
    targets: [target],
    record,
    now,
    random: createRandom(5),
    host: SOAK_HOST,
    apiKey: SOAK_API_KEY,
    count: CALLERS,
    deadlineMilliseconds: ATTEMPT_MILLISECONDS,
    attemptMilliseconds: ATTEMPT_MILLISECONDS,
  });
  callers.start();
  const nodes = [{ ...target, getStartNumber: () => 1 }];
  const stopVersionWatch = watchVersions({ nodes, callers, record, now });
  await disturb({ store, storeLink, record, now, operator, model, writers });
  await sleep(RESTORATION_BOUNDS.applyMilliseconds + 3 * PROBE_MILLISECONDS);
  await Promise.all([callers.stop(), stopVersionWatch()]);
  await node.close();
  await storeLink.close();
  await Promise.all([plain.close(), model.close(), store.close()]);
  return [...new Set(findViolations(record, RESTORATION_BOUNDS).map(({ promise }) => promise))];
}

/**
 * Restores the store from a copy: from before its last configurations and before an endpoint announced its shutdown.
 */
async function disturbByRestoration(site: FollowedSite): Promise<void> {
  const { store, record, now, operator, model, writers } = site;
  await sleep(COPY_AGE_MILLISECONDS);
  const copiedAt = now();
  for (let change = 0; change < LOST_CHANGES; change += 1) operator.changeConfiguration();
  model.setMode('draining');
  model.register();
  model.recordDeparture();
  await sleep(RESTORATION_BOUNDS.noticeMilliseconds + COPY_AGE_MILLISECONDS);
  await restoreStore({
    store,
    record,
    now,
    operator,
    writers,
    random: () => 0.9,
    awayMilliseconds: 200,
    ageMilliseconds: now() - copiedAt + COPY_AGE_MILLISECONDS / 2,
  });
  operator.changeConfiguration();
}

/** Writes odd entries; while they stand, the configuration changes, and an endpoint announces its shutdown. */
async function disturbByOddEntries(site: FollowedSite): Promise<void> {
  const { store, record, now, operator, model } = site;
  const oddAddress = await serveOddAddress(record, now);
  const writing = writeOddEntries({
    store,
    record,
    now,
    address: oddAddress.address,
    name: '0',
    choices: ODD_CHOICES,
    milliseconds: ODD_MILLISECONDS,
  });
  await sleep(ODD_MILLISECONDS / 2);
  operator.changeConfiguration();
  model.setMode('draining');
  model.register();
  model.recordDeparture();
  await writing;
  await oddAddress.close();
}

/** Writes an odd configuration of a high version, and then the next good one. */
async function disturbByOddConfiguration({ operator }: FollowedSite): Promise<void> {
  await sleep(PROBE_MILLISECONDS);
  operator.writeOddConfiguration(ODD_CONFIGURATION_CHOICE);
  await sleep(2 * PROBE_MILLISECONDS);
  operator.changeConfiguration();
}

/** Lets the node's connections to the store go silent between two versions. */
async function disturbBySilence({ storeLink, operator }: FollowedSite): Promise<void> {
  await sleep(PROBE_MILLISECONDS);
  operator.changeConfiguration();
  storeLink.silenceConnections();
  operator.changeConfiguration();
}

/** Runs callers against a defective node and returns the promises that the checks report as broken. */
async function findBrokenPromises(
  {
    defect,
    mode = 'healthy',
    milliseconds,
    crashingShare = 0,
    endsUnframed = false,
  }: PlantedDefect,
  expected?: string,
): Promise<string[]> {
  const record = createRecord();
  const now = (): number => performance.now();
  const store = await serveSiteStore(0);
  const createEndpoint = async (id: string, service: string, kind?: string) => {
    const endpoint = await createSoakEndpoint({
      id,
      service,
      acceleratorKind: kind,
      availabilityZone: 'zone-1',
      events: BOUNDS.events,
      store,
      record,
      now,
      isServing: () => true,
      crashForTime: () => {
        if (!endpoint.isServing()) return false;
        void endpoint
          .crash()
          .then(() => sleep(CRASHED_MILLISECONDS))
          .then(endpoint.start);
        return true;
      },
    });
    endpoint.setMode(mode);
    endpoint.setUnframed(endsUnframed);
    await endpoint.start();
    return endpoint;
  };
  const plain = await createEndpoint('plain-0', PLAIN_SERVICE);
  const model = await createEndpoint('engine-0', MODEL_SERVICE, ACCELERATOR_KIND);
  const node = await serveDefectiveNode({ defect, plain, model, now });
  const callers = createCallers({
    targets: [{ node: 'node-0', address: node.address }],
    record,
    now,
    random: createRandom(5),
    host: SOAK_HOST,
    apiKey: SOAK_API_KEY,
    count: CALLERS,
    deadlineMilliseconds: ATTEMPT_MILLISECONDS,
    attemptMilliseconds: ATTEMPT_MILLISECONDS,
    getCrashingShare: () => crashingShare,
  });
  const listBroken = (): string[] => [
    ...new Set(findViolations(record, BOUNDS).map(({ promise }) => promise)),
  ];
  let isOver = false;
  const crashInTurn = async (): Promise<void> => {
    while (endsUnframed && !isOver) {
      for (const endpoint of [plain, model]) {
        await sleep(CRASH_PAUSE_MILLISECONDS);
        await endpoint.crash();
        await sleep(CRASHED_MILLISECONDS);
        await endpoint.start();
      }
    }
  };
  const crashes = crashInTurn();
  const slowRunEnd = now() + SLOW_RUN_MILLISECONDS;
  callers.start();
  await sleep(milliseconds ?? RUN_MILLISECONDS);
  // On a busy machine, the requests that show the defect take longer.
  const isUndetected = (): boolean => expected !== undefined && !listBroken().includes(expected);
  while (isUndetected() && now() < slowRunEnd) await sleep(RUN_MILLISECONDS);
  isOver = true;
  await Promise.all([callers.stop(), crashes]);
  await sleep(2 * CRASHED_MILLISECONDS);
  await node.close();
  await Promise.all([plain.close(), model.close(), store.close()]);
  return listBroken();
}

const INTACT_RESPONSE_PROMISE = 'an answer is whole, correct and its own';
const PLANTED_DEFECTS: readonly (readonly [PlantedDefect, string])[] = [
  [{ defect: 'swapsResponses' }, INTACT_RESPONSE_PROMISE],
  [{ defect: 'dropsEvent' }, INTACT_RESPONSE_PROMISE],
  [{ defect: 'duplicatesEvent' }, INTACT_RESPONSE_PROMISE],
  [{ defect: 'mergesEvents' }, INTACT_RESPONSE_PROMISE],
  [{ defect: 'endsEarly' }, INTACT_RESPONSE_PROMISE],
  [
    { defect: 'trustsConnectionEnd', endsUnframed: true },
    'an answer that its endpoint did not finish does not look whole',
  ],
  [{ defect: 'runsTwice' }, 'a booking runs once at most, and once where it is answered'],
  [{ defect: 'refusesAfterRun' }, 'a refused request has not run and never does'],
  [{ defect: 'neverResponds' }, 'every request ends'],
  [{ defect: 'omitsLayers' }, 'a path holds each layer once and in order'],
  [
    { defect: 'ignoresBackoff', mode: 'resting', milliseconds: LONG_RUN_MILLISECONDS },
    'an endpoint at rest gets nothing from a node that knows',
  ],
  [
    { defect: 'ignoresLeaving', mode: 'leaving', milliseconds: LONG_RUN_MILLISECONDS },
    'a leaving endpoint gets nothing from a node that knows',
  ],
  [
    { defect: 'ignoresLimit', mode: 'limited', milliseconds: LONG_RUN_MILLISECONDS },
    'an endpoint with a rate limit gets no more than that from all nodes',
  ],
  [
    { defect: 'retriesTooOften', milliseconds: LONG_RUN_MILLISECONDS },
    'requests are repeated within the budget',
  ],
  [
    { defect: 'forwardsCrashing', milliseconds: LONG_RUN_MILLISECONDS, crashingShare: 0.5 },
    'a part that crashes endpoints does not reach one after another',
  ],
];

for (const [planted, promise] of PLANTED_DEFECTS) {
  test(`detects a node with the defect ${planted.defect}`, async () => {
    const broken = await findBrokenPromises(planted, promise);
    assert.ok(broken.includes(promise), broken.join(', '));
  });
}

test('reports no violation for a node that asks endpoints after responses without framing', async () => {
  const broken = await findBrokenPromises({
    defect: 'none',
    endsUnframed: true,
    milliseconds: LONG_RUN_MILLISECONDS,
  });
  assert.deepEqual(broken, []);
});

const CONFIGURATION_PROMISE = 'an accepted configuration is in force in time and never goes back';
const FOLLOWER_DEFECTS: readonly (readonly [FollowerDefect, string])[] = [
  ['trustsRevisions', CONFIGURATION_PROMISE],
  ['revertsConfiguration', CONFIGURATION_PROMISE],
  [
    'forgetsDepartures',
    'an endpoint that has left the registry gets nothing from a node that knows',
  ],
];

for (const [defect, promise] of FOLLOWER_DEFECTS) {
  test(`detects a node that ${defect} when the store was restored from an older copy`, async () => {
    assert.deepEqual(await findBrokenByFollower(defect, disturbByRestoration), [promise]);
  });
}

test('reports no violation for a node that follows a restored store without a defect', async () => {
  assert.deepEqual(await findBrokenByFollower('none', disturbByRestoration), []);
});

const ODD_ENTRY_DEFECTS: readonly (readonly [FollowerDefect, readonly string[]])[] = [
  ['takesOddEntries', ['no request reaches the address of an odd entry']],
  [
    'stopsAtOddEntry',
    [
      'an endpoint that has left the registry gets nothing from a node that knows',
      CONFIGURATION_PROMISE,
    ],
  ],
];

for (const [defect, promises] of ODD_ENTRY_DEFECTS) {
  test(`detects a node that ${defect}`, async () => {
    const broken = await findBrokenByFollower(defect, disturbByOddEntries);
    for (const promise of promises) assert.ok(broken.includes(promise), broken.join(', '));
  });
}

test('detects a node that takesOddConfigurations', async () => {
  const broken = await findBrokenByFollower('takesOddConfigurations', disturbByOddConfiguration);
  assert.deepEqual(broken, [CONFIGURATION_PROMISE]);
});

test('reports no violation for a node without a defect after an odd configuration', async () => {
  assert.deepEqual(await findBrokenByFollower('none', disturbByOddConfiguration), []);
});

test('detects a node that waitsWithoutLimit for the store after its connections have gone silent', async () => {
  const broken = await findBrokenByFollower('waitsWithoutLimit', disturbBySilence);
  assert.deepEqual(broken, [CONFIGURATION_PROMISE]);
});

test('reports no violation for a node without a defect after its connections have gone silent', async () => {
  assert.deepEqual(await findBrokenByFollower('none', disturbBySilence), []);
});

test('reports no violation for a node without a defect while odd entries stand', async () => {
  assert.deepEqual(await findBrokenByFollower('none', disturbByOddEntries), []);
});

for (const mode of ['healthy', 'resting', 'leaving', 'full', 'breaksOff', 'limited'] as const) {
  test(`reports no violation for a node without a defect when endpoints are in mode ${mode}`, async () => {
    const broken = await findBrokenPromises({
      defect: 'none',
      mode,
      milliseconds: LONG_RUN_MILLISECONDS,
    });
    assert.deepEqual(broken, []);
  });
}
