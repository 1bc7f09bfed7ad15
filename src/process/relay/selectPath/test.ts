import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  FAST_ACCELERATOR,
  LAYERED_MODEL,
  NO_ADMISSION,
  NO_PERMITS,
  createEndpointRecord,
  createRoute,
} from '../../../../tests/support/site/index.js';
import { createEndpointTable } from '../../../connection/createEndpointTable/index.js';
import { choosePath, type PathCandidate } from '../../../request/choosePath/index.js';
import type { RelayContext, RelayedRequest } from '../types/index.js';
import { selectPath } from './index.js';

const ZONES = ['mission', 'abbotsford'] as const;
const HALVES = [
  { from: 0, to: 40 },
  { from: 40, to: 80 },
] as const;
const SIZE = { promptTokens: 700, answerTokens: 200, roomTokens: 900, excluded: new Set<string>() };

/** Creates two availability zones that each host all layers in two halves; the node is in one. */
function createCase() {
  const endpoints = createEndpointTable();
  for (const zone of ZONES) {
    HALVES.forEach((layers, index) => {
      const id = `${zone}-${index}`;
      const place = { availabilityZone: zone, address: id, kind: FAST_ACCELERATOR.name, layers };
      endpoints.update(id, createEndpointRecord({ id, service: 'assistant', ...place }), 0);
    });
  }
  const candidateCounts: number[] = [];
  const context = {
    availabilityZone: ZONES[0],
    endpoints,
    clock: { now: () => 0 },
    random: () => 0.5,
    countNodes: () => 195,
    countNodesWithoutLoad: () => 0,
    permits: NO_PERMITS,
    admission: NO_ADMISSION,
    readLoadAge: () => 0,
    zoneLinks: { estimateWait: () => 0, recordTransfer: () => undefined },
    decisions: {
      movesRuns: true,
      prefersLocalZone: true,
      choosePath: (options: Parameters<typeof choosePath>[0]) => {
        candidateCounts.push(options.candidates.length);
        return choosePath(options);
      },
    },
  } as unknown as RelayContext;
  const request = {
    service: { name: 'assistant', healthPath: '/', maximumConnections: 1, model: LAYERED_MODEL },
    route: createRoute({
      kind: 'stream',
      objectiveMilliseconds: 600,
      longestPauseMilliseconds: 300,
    }),
    log: { add: () => undefined },
  } as unknown as RelayedRequest;
  const select = (): string[] =>
    (selectPath(context, request, SIZE)?.hops ?? []).map(({ endpoint }) => endpoint);
  return { context, request, endpoints, searched: candidateCounts, select };
}

function fill(endpoint: { localRequests: number } | undefined, requests: number): void {
  assert.ok(endpoint);
  endpoint.localRequests = requests;
}

test('uses a fast path within the local zone without a search of remote zones', () => {
  const { select, searched } = createCase();
  assert.deepEqual(select(), ['mission-0', 'mission-1']);
  assert.deepEqual(searched, [2]);
});

test('considers endpoints of remote zones when local ones are lost or full', () => {
  const { select, endpoints, searched } = createCase();
  const localEndpoint = endpoints.find('mission-1');
  assert.ok(localEndpoint);
  endpoints.markLost(localEndpoint, 0, 1_000);
  assert.equal(select().at(-1), 'abbotsford-1');
  assert.deepEqual(searched, [1, 3]);
  endpoints.markFound(localEndpoint);
  fill(endpoints.find('mission-0'), LAYERED_MODEL.slots);
  assert.equal(select()[0], 'abbotsford-0');
});

test('considers endpoints of remote zones when local ones are too slow for the route', () => {
  const { select, endpoints } = createCase();
  const localEndpoint = endpoints.find('mission-0');
  assert.ok(localEndpoint);
  localEndpoint.slowdown = 60;
  assert.equal(select()[0], 'abbotsford-0');
});

test('searches all candidates when no zone alone hosts all layers', () => {
  const { select, endpoints } = createCase();
  for (const id of ['mission-1', 'abbotsford-0']) {
    const endpoint = endpoints.find(id);
    assert.ok(endpoint);
    endpoints.markLost(endpoint, 0, 1_000);
  }
  const ids: PathCandidate['id'][] = select();
  assert.deepEqual(ids, ['mission-0', 'abbotsford-1']);
});

test('a run that continues a stream is not limited by the share of its priority, and a first run is', () => {
  const { context, request, endpoints } = createCase();
  for (const endpoint of endpoints.list()) endpoint.remoteRequests = 40;
  const counted: string[] = [];
  const limited = {
    ...context,
    admission: { ...NO_ADMISSION, findShare: () => 0.3 },
    metrics: { count: (name: string, label: string) => counted.push(`${name} ${label}`) },
  } as unknown as RelayContext;
  const lessUrgent = { ...request, priority: 3 };
  assert.equal(selectPath(limited, lessUrgent, SIZE), undefined);
  assert.deepEqual(counted, ['share_refusals assistant/3']);
  assert.ok(selectPath(limited, lessUrgent, { ...SIZE, isContinuation: true }));
  assert.ok(selectPath(context, lessUrgent, SIZE));
});
