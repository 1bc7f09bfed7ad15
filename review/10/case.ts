/**
 * An engine that has named a limit turns a request of each machine away, and wants nothing for some seconds.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import { formatLookup, openClient } from '../lib-2/client.js';
import { runCase, type CaseContext } from '../lib-2/runCase.js';
import { createConfiguration } from '../lib-2/site.js';

/** Arrival of a request at the engine that turns requests away. */
interface Arrival {
  readonly node: string;
  readonly at: number;
}

const TIMEOUT_MILLISECONDS = 5_000;
const REQUESTS_PER_SECOND = 30;
/** Time between two lookups: together somewhat more than all engines take. */
const LOOKUP_INTERVAL_MILLISECONDS = 8;
const BEFORE_MILLISECONDS = 8_000;
const REST_SECONDS = 3;
const REST_MILLISECONDS = REST_SECONDS * 1_000;
/** Time after the answer from which arrivals count. */
const NOTICE_MILLISECONDS = 500;
const ALLOWED_ARRIVALS = 2;

/** Machine by attempt. */
const nodes = new Map<string, string>();
const arrivals: Arrival[] = [];
/** Unix time of the first answer with a rest, in milliseconds, by machine. */
const restedAt = new Map<string, number>();
/** Engine that turns requests away; none at first. */
let resting = '';

async function lookUp(
  { site, note }: Pick<CaseContext, 'site' | 'note'>,
  index: number,
): Promise<void> {
  const node = site.nodes[index % site.nodes.length];
  if (!node) return;
  const attempt = `look-${index}`;
  nodes.set(attempt, node.name);
  const client = openClient(node.front);
  const text = formatLookup(attempt, TIMEOUT_MILLISECONDS);
  const { status, reason } = await client.request(text, TIMEOUT_MILLISECONDS);
  note(`${attempt} at ${node.name} gets ${reason ?? status}`);
  client.close();
}

function countLate(node: string): number {
  const from = (restedAt.get(node) ?? Number.POSITIVE_INFINITY) + NOTICE_MILLISECONDS;
  const to = from - NOTICE_MILLISECONDS + REST_MILLISECONDS;
  return arrivals.filter((arrival) => arrival.node === node && arrival.at > from && arrival.at < to)
    .length;
}

await runCase({
  folder: import.meta.dirname,
  configuration: createConfiguration([
    {
      name: 'look',
      type: 'safe',
      timeoutMilliseconds: TIMEOUT_MILLISECONDS,
      maximumAttempts: 2,
      priority: 1,
    },
  ]),
  requestsPerSecond: REQUESTS_PER_SECOND,
  turnAway: ({ engine, attempt, at }, { note }) => {
    if (engine !== resting) return undefined;
    const node = nodes.get(attempt) ?? '';
    arrivals.push({ node, at });
    const since = restedAt.get(node) ?? at;
    restedAt.set(node, since);
    const leftMilliseconds = since + REST_MILLISECONDS - at;
    if (leftMilliseconds <= 0) return undefined;
    note(`${engine} turns ${attempt} of ${node} away for ${leftMilliseconds} ms`);
    return leftMilliseconds / 1_000;
  },
  onRun: () => false,
  play: async ({ site, engines, note, hasTrouble }) => {
    let sent = 0;
    const timer = setInterval(() => {
      void lookUp({ site, note }, sent);
      sent += 1;
    }, LOOKUP_INTERVAL_MILLISECONDS);
    await sleep(BEFORE_MILLISECONDS);
    if (hasTrouble) resting = engines[0]?.id ?? '';
    await sleep(REST_MILLISECONDS + 1_000);
    clearInterval(timer);
    await sleep(1_000);
    const counts = site.nodes.map(({ name }) => countLate(name));
    for (const [index, { name }] of site.nodes.entries())
      note(`${name} sent ${counts[index] ?? 0} requests later than ${NOTICE_MILLISECONDS} ms`);
    const most = Math.max(...counts);
    return {
      isBroken: most > ALLOWED_ARRIVALS,
      text: `requests that reached the resting engine late, by machine: ${counts.join(', ')}`,
    };
  },
});
