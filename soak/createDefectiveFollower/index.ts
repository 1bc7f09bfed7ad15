/**
 * Minimal follower of the store for a defective node. Each defect misunderstands a store that was restored from an
 * older copy, entries that no endpoint can have written, or a connection that goes silent.
 */
import { z } from 'zod';
import { sleep } from '../../bench/sleep/index.js';
import { decodeConfiguration } from '../../platform/decodeConfiguration/index.js';
import { decodeEndpoint } from '../../platform/decodeEndpoint/index.js';
import { addressSchema } from '../../platform/fieldSchemas/index.js';
import { parseJson } from '../../src/process/parseJson/index.js';

/** Planted defect; `none` keeps all promises. */
export type FollowerDefect =
  | 'none'
  /** Takes only items with a higher revision than any before, in whichever era. */
  | 'trustsRevisions'
  /** Takes the configuration that the store has, also an older one. */
  | 'revertsConfiguration'
  /** Takes the entries of endpoints that the store has, also of those that have left. */
  | 'forgetsDepartures'
  /** Takes each entry that names a service and an address, whatever its other fields are. */
  | 'takesOddEntries'
  /** Follows the store no further than to the first entry that names no endpoint. */
  | 'stopsAtOddEntry'
  /** Takes each configuration that has a version, whatever its other fields are. */
  | 'takesOddConfigurations'
  /** Waits for responses of the store without a time limit. */
  | 'waitsWithoutLimit';

/** Running follower. */
export interface DefectiveFollower {
  /** Returns the version of the configuration; 0 before the first one. */
  readonly getVersion: () => number;
  readonly isAvailable: (endpoint: string) => boolean;
  /** Lists the addresses of the service's entries that name no endpoint and were taken. */
  readonly listOddAddresses: (service: string) => readonly string[];
  readonly close: () => Promise<void>;
}

const PAUSE_MILLISECONDS = 20;
/** Time limit of a call to the store. */
const TIMEOUT_MILLISECONDS = 200;
const CONFIGURATION_KEY = 'op/config';
const ENDPOINT_PREFIX = 'servers/';
const rangeSchema = z.object({
  items: z.array(z.object({ key: z.string(), revision: z.number(), value: z.string() })),
  at: z.number(),
});
const versionSchema = z.object({ version: z.number() });
const looseSchema = z.object({ service: z.string(), address: addressSchema });

type Item = z.infer<typeof rangeSchema>['items'][number];

function decodeValue({ value }: Item): unknown {
  return parseJson(Buffer.from(value, 'base64').toString());
}

/**
 * Starts a follower.
 *
 * @param address - address of the store
 * @param defect - the planted defect
 * @returns the running follower
 * @example
 * createDefectiveFollower(store.address, 'trustsRevisions').getVersion();
 */
export function createDefectiveFollower(
  address: string,
  defect: FollowerDefect,
): DefectiveFollower {
  const ending = new AbortController();
  const departed = new Set<string>();
  const available = new Map<string, boolean>();
  const odd = new Map<string, z.infer<typeof looseSchema>>();
  let version = 0;
  let latestEra = 0;
  let latestRevision = 0;
  let isClosed = false;
  let hasStopped = false;

  const applyConfiguration = (item: Item): void => {
    const value = decodeValue(item);
    const next =
      defect === 'takesOddConfigurations'
        ? versionSchema.safeParse(value).data?.version
        : decodeConfiguration(value)?.version;
    if (next === undefined) return;
    version = defect === 'revertsConfiguration' ? next : Math.max(version, next);
  };
  const applyOddEntry = (id: string, value: unknown): void => {
    hasStopped ||= defect === 'stopsAtOddEntry';
    const loose = looseSchema.safeParse(value);
    if (defect === 'takesOddEntries' && loose.success) odd.set(id, loose.data);
  };
  const applyEndpoint = (item: Item): void => {
    const id = item.key.slice(ENDPOINT_PREFIX.length);
    const value = decodeValue(item);
    const record = decodeEndpoint(id, value);
    if (!record) {
      applyOddEntry(id, value);
      return;
    }
    const start = `${id} ${record.startedAt}`;
    if (record.isDraining) departed.add(start);
    const hasLeft = defect === 'forgetsDepartures' ? record.isDraining : departed.has(start);
    available.set(id, !hasLeft);
  };
  const poll = async (): Promise<void> => {
    const limits =
      defect === 'waitsWithoutLimit' ? [] : [AbortSignal.timeout(TIMEOUT_MILLISECONDS)];
    const signal = AbortSignal.any([ending.signal, ...limits]);
    const response = await fetch(`http://${address}/kv-range?prefix=`, { signal });
    const { items, at } = rangeSchema.parse(await response.json());
    const era = Number(response.headers.get('store-era'));
    const isNewEra = defect !== 'trustsRevisions' && era > latestEra;
    const after = isNewEra ? 0 : latestRevision;
    for (const item of items.filter(({ revision }) => revision > after)) {
      if (item.key === CONFIGURATION_KEY) applyConfiguration(item);
      if (item.key.startsWith(ENDPOINT_PREFIX)) applyEndpoint(item);
    }
    latestEra = era;
    latestRevision = Math.max(after, at);
  };
  const follow = async (): Promise<void> => {
    while (!isClosed && !hasStopped) {
      await poll().catch(() => {
        // The store is away for a moment; the next poll shows whether it is back.
      });
      await sleep(PAUSE_MILLISECONDS);
    }
  };
  const following = follow();
  return {
    getVersion: () => version,
    isAvailable: (endpoint) => available.get(endpoint) ?? false,
    listOddAddresses: (service) =>
      [...odd.values()].filter((entry) => entry.service === service).map(({ address: at }) => at),
    close: () => {
      isClosed = true;
      ending.abort();
      return following;
    },
  };
}
