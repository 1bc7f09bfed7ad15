/**
 * Sample records, routes and endpoints of a small site for tests.
 */
import type { LinkMonitor } from '../../../src/process/relay/createLinkMonitor/index.js';
import type { AdmissionExchange } from '../../../src/process/site/createAdmissionExchange/index.js';
import type { Permits } from '../../../src/process/site/createPermits/index.js';
import type { RateLimits } from '../../../src/process/site/createRateLimits/index.js';
import type { SiteLogger } from '../../../src/process/site/createSiteLogger/index.js';
import type { Endpoint } from '../../../src/connection/createEndpointTable/index.js';
import { createEndpointTable } from '../../../src/connection/createEndpointTable/index.js';
import type { PathCandidate } from '../../../src/request/choosePath/index.js';
import type {
  AcceleratorKind,
  EndpointRecord,
  LayeredModel,
  SiteConfiguration,
  SiteRoute,
} from '../../../src/types/site/index.js';

export const FAST_ACCELERATOR: AcceleratorKind = {
  name: 'a100',
  memoryMegabytes: 72_000,
  pace: 2.4,
  readFactor: 3.2,
};
export const MEDIUM_ACCELERATOR: AcceleratorKind = {
  name: 'v100',
  memoryMegabytes: 14_400,
  pace: 5.3,
  readFactor: 7.9,
};
export const SLOW_ACCELERATOR: AcceleratorKind = {
  name: 'l4',
  memoryMegabytes: 21_600,
  pace: 16,
  readFactor: 8.2,
};

export const LAYERED_MODEL: LayeredModel = {
  layers: 80,
  layerMegabytes: 1_750,
  tokenBytes: 845_373,
  stepMilliseconds: 1.02,
  stepMillisecondsPerSequence: 0.0066,
  stepMillisecondsPerThousandTokens: 0.0088,
  readTokensPerSecond: 164_000,
  stride: 4,
  slots: 134,
  activationBytes: 42_268,
  linkMegabitsPerSecond: 400_000,
  pipeMegabitsPerSecond: 19_000,
  usualPromptTokens: 774,
  usualAnswerTokens: 210,
  loadSeconds: 14,
  kinds: [FAST_ACCELERATOR, MEDIUM_ACCELERATOR, SLOW_ACCELERATOR],
};

export function createRoute(changes: Partial<SiteRoute> = {}): SiteRoute {
  return {
    name: 'route-1',
    host: 'desk.example',
    prefix: '/',
    kind: 'safe',
    timeoutMilliseconds: 1_000,
    objectiveMilliseconds: 300,
    priority: 1,
    services: [{ service: 'booking', weight: 1 }],
    maximumAttempts: 2,
    isPublic: false,
    isResumable: false,
    longestPauseMilliseconds: 250,
    ...changes,
  };
}

export function createSiteConfiguration(
  changes: Partial<SiteConfiguration> = {},
): SiteConfiguration {
  return {
    version: 1,
    routes: [createRoute()],
    services: [{ name: 'booking', healthPath: '/healthz', maximumConnections: 10 }],
    limits: {
      headerBytes: 16_384,
      bodyBytes: 4_096,
      headerTimeoutMilliseconds: 1_000,
      idleTimeoutMilliseconds: 5_000,
    },
    accounts: [{ name: 'kiosk', keys: ['key-1'] }],
    ...changes,
  };
}

export function createEndpointRecord(changes: Partial<EndpointRecord> = {}): EndpointRecord {
  return {
    id: 'i-1',
    service: 'booking',
    address: '127.0.0.1:1',
    availabilityZone: 'mission',
    isDraining: false,
    startedAt: 1,
    slots: 6,
    ...changes,
  };
}

export function createEndpoint(changes: Partial<EndpointRecord> = {}): Endpoint {
  const record = createEndpointRecord(changes);
  const table = createEndpointTable();
  table.update(record.id, record, 0);
  const endpoint = table.find(record.id);
  if (!endpoint) throw new Error('the endpoint table does not contain the endpoint that was added');
  return endpoint;
}

export function createPathCandidate(
  id: string,
  from: number,
  to: number,
  changes: Partial<PathCandidate> = {},
): PathCandidate {
  return {
    id,
    address: `10.0.0.${id}:80`,
    availabilityZone: 'mission',
    kind: MEDIUM_ACCELERATOR,
    range: { from, to },
    requests: 0,
    usedTokenLayers: 0,
    slowdown: 1,
    ...changes,
  };
}

/** Links of a node that reaches all endpoints and connected to none lately. */
export const SOUND_LINKS: LinkMonitor = {
  record: () => undefined,
  check: () => Promise.resolve(),
  isIsolated: () => false,
  isSuspect: () => false,
  confirmIsolated: () => Promise.resolve(false),
  readConnectedAge: () => Number.POSITIVE_INFINITY,
  step: () => undefined,
};

/** Rate limits and permits of a site whose endpoints have no limit. */
export const NO_RATE_LIMITS: Pick<RateLimits, 'record' | 'list' | 'receive'> = {
  record: () => undefined,
  list: () => [],
  receive: () => undefined,
};
export const NO_PERMITS: Permits = {
  findLimit: () => undefined,
  estimateWait: () => 0,
  acquire: () => Promise.resolve({ isGranted: true, waitMilliseconds: 0, origin: 'issuer' }),
  handleRequest: () => undefined,
  handleReply: () => undefined,
};

/** Admission of a site whose services have one priority each. */
export const NO_ADMISSION: AdmissionExchange = {
  findShare: () => 1,
  record: () => undefined,
  hold: () => () => undefined,
  receive: () => undefined,
  step: () => undefined,
  listShares: () => [],
};

/** Logger that discards all lines. */
export const NOOP_LOGGER: SiteLogger = {
  log: () => undefined,
  logRequestEvents: () => undefined,
  countDroppedLines: () => 0,
};
