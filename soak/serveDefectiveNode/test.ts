import assert from 'node:assert/strict';
import { test } from 'node:test';
import { sleep } from '../../bench/sleep/index.js';
import { createRandom } from '../../src/process/createRandom/index.js';
import { serveSiteStore } from '../../standins/serveSiteStore/index.js';
import {
  ENDPOINT_KIND,
  MODEL_SERVICE,
  PLAIN_SERVICE,
  SOAK_HOST,
  SOAK_KEY,
} from '../createConfiguration/index.js';
import { createRecord } from '../createRecord/index.js';
import { createSoakEndpoint, type EndpointMode } from '../createSoakEndpoint/index.js';
import { findViolations } from '../listChecks/index.js';
import { createCallers } from '../runCallers/index.js';
import { SOAK_BOUNDS } from '../runSoak/index.js';
import { serveDefectiveNode, type Defect } from './index.js';

const GIVE_UP_MILLISECONDS = 1_500;
const ASKED_MILLISECONDS = 900;
/** Time in which rest and leaving matter: longer than the drain that is allowed. */
const LONG_MILLISECONDS = 3_600;
const CALLERS = 4;
const BOUNDS = {
  ...SOAK_BOUNDS,
  events: 4,
  attemptMilliseconds: GIVE_UP_MILLISECONDS,
  // A busy machine asks too seldom to use up more.
  retrySlack: 2,
};

interface Planted {
  readonly defect: Defect;
  /** How the endpoints treat requests. */
  readonly mode?: EndpointMode;
  readonly milliseconds?: number;
}

/** Promises that callers and endpoints see broken behind a relay with a defect. */
async function findBroken({ defect, mode = 'sound', milliseconds }: Planted): Promise<string[]> {
  const record = createRecord();
  const now = (): number => performance.now();
  const store = await serveSiteStore(0);
  const createEndpoint = async (id: string, service: string, kind?: string) => {
    const endpoint = await createSoakEndpoint({
      id,
      service,
      kind,
      availabilityZone: 'zone-1',
      events: BOUNDS.events,
      store,
      record,
      now,
      isServing: () => true,
    });
    endpoint.setMode(mode);
    await endpoint.start();
    return endpoint;
  };
  const plain = await createEndpoint('plain-0', PLAIN_SERVICE);
  const model = await createEndpoint('engine-0', MODEL_SERVICE, ENDPOINT_KIND);
  const node = await serveDefectiveNode({ defect, plain, model, now });
  const callers = createCallers({
    targets: [{ node: 'node-0', address: node.address }],
    record,
    now,
    random: createRandom(5),
    host: SOAK_HOST,
    key: SOAK_KEY,
    count: CALLERS,
    deadlineMilliseconds: GIVE_UP_MILLISECONDS,
    attemptMilliseconds: GIVE_UP_MILLISECONDS,
  });
  callers.start();
  await sleep(milliseconds ?? ASKED_MILLISECONDS);
  await callers.stop();
  await node.close();
  await Promise.all([plain.close(), model.close(), store.close()]);
  return [...new Set(findViolations(record, BOUNDS).map(({ promise }) => promise))];
}

const WHOLE = 'an answer is whole, correct and its own';
const PLANTED: readonly (readonly [Planted, string])[] = [
  [{ defect: 'swapsAnswers' }, WHOLE],
  [{ defect: 'dropsEvent' }, WHOLE],
  [{ defect: 'doublesEvent' }, WHOLE],
  [{ defect: 'joinsEvents' }, WHOLE],
  [{ defect: 'endsEarly' }, WHOLE],
  [{ defect: 'runsTwice' }, 'a booking runs once at most, and once where it is answered'],
  [{ defect: 'refusesAfterRun' }, 'a refused request has not run and never does'],
  [{ defect: 'neverAnswers' }, 'every request ends'],
  [{ defect: 'leavesLayersOut' }, 'a path holds each layer once and in order'],
  [
    { defect: 'ignoresRest', mode: 'resting', milliseconds: LONG_MILLISECONDS },
    'an endpoint at rest gets nothing from a node that knows',
  ],
  [
    { defect: 'ignoresLeaving', mode: 'leaving', milliseconds: LONG_MILLISECONDS },
    'a leaving endpoint gets nothing from a node that knows',
  ],
  [
    { defect: 'repeatsOften', milliseconds: LONG_MILLISECONDS },
    'requests are repeated within the budget',
  ],
];

for (const [planted, promise] of PLANTED) {
  test(`a relay that ${planted.defect} is found out`, async () => {
    const broken = await findBroken(planted);
    assert.ok(broken.includes(promise), broken.join(', '));
  });
}

for (const mode of ['sound', 'resting', 'leaving', 'full', 'breaksOff'] as const) {
  test(`a sound relay before endpoints that are ${mode} breaks nothing`, async () => {
    const broken = await findBroken({ defect: 'none', mode, milliseconds: LONG_MILLISECONDS });
    assert.deepEqual(broken, []);
  });
}
