/**
 * Minimal follower of the store for a defective node. Each defect misunderstands a store that was restored from an
 * older copy.
 */
import { z } from 'zod';
import { sleep } from '../../bench/sleep/index.js';
import { parseJson } from '../../src/process/parseJson/index.js';

/** Planted defect; `none` keeps all promises. */
export type FollowerDefect =
  | 'none'
  /** Takes only items with a higher revision than any before, in whichever era. */
  | 'trustsRevisions'
  /** Takes the configuration that the store has, also an older one. */
  | 'revertsConfiguration'
  /** Takes the entries of endpoints that the store has, also of those that have left. */
  | 'forgetsDepartures';

/** Running follower. */
export interface DefectiveFollower {
  /** Returns the version of the configuration; 0 before the first one. */
  readonly getVersion: () => number;
  readonly isAvailable: (endpoint: string) => boolean;
  readonly close: () => Promise<void>;
}

const PAUSE_MILLISECONDS = 20;
const CONFIGURATION_KEY = 'op/config';
const ENDPOINT_PREFIX = 'servers/';
const rangeSchema = z.object({
  items: z.array(z.object({ key: z.string(), revision: z.number(), value: z.string() })),
  at: z.number(),
});
const configurationSchema = z.object({ version: z.number() });
const endpointSchema = z.object({ state: z.string(), born: z.number() });

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
  const departed = new Set<string>();
  const available = new Map<string, boolean>();
  let version = 0;
  let latestEra = 0;
  let latestRevision = 0;
  let isClosed = false;

  const applyConfiguration = (item: Item): void => {
    const next = configurationSchema.parse(decodeValue(item)).version;
    version = defect === 'revertsConfiguration' ? next : Math.max(version, next);
  };
  const applyEndpoint = (item: Item): void => {
    const { state, born } = endpointSchema.parse(decodeValue(item));
    const start = `${item.key} ${born}`;
    if (state !== 'ready') departed.add(start);
    const hasLeft = defect === 'forgetsDepartures' ? state !== 'ready' : departed.has(start);
    available.set(item.key.slice(ENDPOINT_PREFIX.length), !hasLeft);
  };
  const poll = async (): Promise<void> => {
    const response = await fetch(`http://${address}/kv-range?prefix=`);
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
    while (!isClosed) {
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
    close: () => {
      isClosed = true;
      return following;
    },
  };
}
