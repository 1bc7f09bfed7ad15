/**
 * Restarts six nodes in separate processes one after another under load, and measures the cost of
 * an idle node.
 */
import { readFileSync } from 'node:fs';
import { BUNDLE, buildBundle } from '../buildBundle/index.js';
import { readLoadSettings, runLoad } from '../runLoad/index.js';
import { spawnSite, type SpawnedSite } from '../spawnSite/index.js';
import { round, type Measurement } from '../types.js';
import { sleep } from '../sleep/index.js';

const SITE = 'fit-desk';
const NODES = 6;
const LOAD_SECONDS = 62;
const RATE_FACTOR = 0.35;
const IDLE_MILLISECONDS = 20_000;
const MAXIMUM_CONTROL_PERCENT = 1.8;
const MAXIMUM_CONTROL_MEGABYTES = 64;

function spawnNodes(): Promise<SpawnedSite> {
  return spawnSite({ site: SITE, nodes: NODES, command: [process.execPath, BUNDLE] });
}

async function restartAll(site: SpawnedSite, codes: (number | null)[]): Promise<void> {
  for (let node = 0; node < NODES; node += 1) {
    site.sendSignal(node, 'SIGTERM');
    codes.push(await site.waitForExit(node));
    site.restart(node);
    await site.waitUntilReady();
  }
}

/** Restarts every node under load and counts the responses and bookings that were not completed. */
export async function measureRolling(): Promise<Measurement> {
  await buildBundle();
  const site = await spawnNodes();
  const keys = JSON.parse(readFileSync(`examples/${SITE}/keys.json`, 'utf8')) as Record<
    string,
    string
  >;
  const base = readLoadSettings(`examples/${SITE}/load.json`);
  const accounts = base.accounts.map(({ name, requestsPerSecond }) => ({
    name,
    requestsPerSecond: requestsPerSecond * RATE_FACTOR,
  }));
  const codes: (number | null)[] = [];
  const settings = { ...base, accounts, seconds: LOAD_SECONDS, hangUpShare: 0 };
  const runDuringLoad = (): Promise<void> => restartAll(site, codes);
  const result = await runLoad({ settings, site, keys, runDuringLoad }).finally(site.close);
  const { asked, whole, wrong, cut, bookingsAsked, bookingsAnswered, bookingsRunTwice } = result;
  const row = { asked, whole, wrong, cut, bookingsAsked, bookingsAnswered, bookingsRunTwice };
  const isComplete =
    whole === asked && bookingsAnswered === bookingsAsked && bookingsRunTwice === 0;
  return {
    rows: [{ ...row, exits: codes.join(' ') }],
    targets: [
      {
        name: 'answers and bookings that are not whole while six nodes restart one after another',
        target: '0, and six exits with 0',
        measured: `${(asked - whole + bookingsAsked - bookingsAnswered).toString()}, exits ${codes.join(' ')}`,
        isMet: isComplete && codes.length === NODES && codes.every((code) => code === 0),
      },
    ],
  };
}

/** Measures the processor time and memory that six idle nodes use for control work. */
export async function measureIdle(): Promise<Measurement> {
  await buildBundle();
  const site = await spawnNodes();
  await sleep(3_000);
  const before = site.readUsage();
  await sleep(IDLE_MILLISECONDS);
  const usage = site.readUsage();
  await site.close();
  const rows = usage.map(({ processorSeconds, memoryMegabytes }, node) => ({
    node: node + 1,
    'processor %': round(
      (100_000 * (processorSeconds - (before[node]?.processorSeconds ?? 0))) / IDLE_MILLISECONDS,
      2,
    ),
    'resident MB': round(memoryMegabytes),
  }));
  const mean = rows.reduce((sum, row) => sum + row['processor %'], 0) / rows.length;
  const largest = Math.max(...rows.map((row) => row['resident MB']));
  return {
    rows,
    targets: [
      {
        name: 'processor time of an idle node with 43 endpoints, of a core, mean of six',
        target: `at most ${MAXIMUM_CONTROL_PERCENT.toString()}%`,
        measured: `${round(mean, 2).toString()}%`,
        isMet: mean <= MAXIMUM_CONTROL_PERCENT,
      },
      {
        name: 'resident memory of an idle node, the language runtime included',
        target: `at most ${MAXIMUM_CONTROL_MEGABYTES.toString()} MB for control`,
        measured: `${largest.toString()} MB`,
        isMet: largest <= MAXIMUM_CONTROL_MEGABYTES,
      },
    ],
  };
}
