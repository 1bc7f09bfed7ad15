/**
 * Writes odd entries among those of the endpoints, as another writer may, and removes them later.
 */
import { sleep } from '../../bench/sleep/index.js';
import { listOddEntries, type OddEntry } from '../../standins/listOddEntries/index.js';
import type { SiteStore } from '../../standins/serveSiteStore/index.js';
import {
  ACCELERATOR_KIND,
  LAYERS,
  MODEL_SERVICE,
  PLAIN_SERVICE,
} from '../createConfiguration/index.js';
import { recordFaultDuring } from '../createRecord/index.js';
import type { SoakRecord } from '../types/index.js';

/** Options of {@link writeOddEntries}. */
export interface WriteOddEntriesOptions {
  readonly store: Pick<SiteStore, 'put' | 'remove'>;
  readonly record: SoakRecord;
  readonly now: () => number;
  /** Address that the entries name, unless it is the address that is odd. */
  readonly address: string;
  /** Part of the entries' identifiers that no other writing has. */
  readonly name: string;
  /** Numbers from 0 to 1 that choose the entries; one each. */
  readonly choices: readonly number[];
  /** Time for which odd entries stand, in milliseconds; half of them are replaced at half of it. */
  readonly milliseconds: number;
}

/** Kind of the recorded fault, and its target; it excuses nothing. */
export const ODD_ENTRIES_FAULT = { kind: 'oddEntries', target: 'registry' };

/** Length of an entry, in characters, above which most of it is nesting or text. */
const SHORT_LENGTH = 1_000;
/** Longest entry that is written, in characters: each node parses it on the machine of the run. */
const MAXIMUM_LENGTH = 300_000;

/** Lists odd entries of the streams' service and of the other one; long ones, if wanted, else short ones. */
function listEntries(address: string, isLong: boolean): OddEntry[] {
  const common = { zone: 'zone-1', version: 'v1', slots: 8, state: 'ready', born: 1_000, address };
  const layers = { from: 0, to: LAYERS };
  return [
    ...listOddEntries({
      ...common,
      service: MODEL_SERVICE,
      route_type: ACCELERATOR_KIND,
      layers,
    }),
    ...listOddEntries({ ...common, service: PLAIN_SERVICE, layers }),
  ].filter(({ value }) => value.length > SHORT_LENGTH === isLong && value.length <= MAXIMUM_LENGTH);
}

function choose(entries: readonly OddEntry[], choice: number): OddEntry['value'] {
  const entry = entries[Math.floor(choice * entries.length)];
  if (!entry) throw new Error(`no odd entry for the choice ${choice} among ${entries.length}`);
  return entry.value;
}

/**
 * Writes odd entries under identifiers of their own, replaces half of them, and removes all. The first is long, and
 * deeply nested.
 *
 * @param options - store, record, address of the entries, choices, and time in milliseconds
 * @returns a promise that resolves when the entries are removed
 * @example
 * await writeOddEntries({ ...context, name: '0', choices: [0.1, 0.7], milliseconds: 2_000 });
 */
export function writeOddEntries(options: WriteOddEntriesOptions): Promise<void> {
  const { store, record, now, address, name, choices, milliseconds } = options;
  const long = listEntries(address, true);
  const short = listEntries(address, false);
  const entries = choices.map((choice, index) => ({
    key: `servers/odd-${name}-${index}`,
    value: choose(index === 0 ? long : short, choice),
  }));
  return recordFaultDuring(record, now, ODD_ENTRIES_FAULT, async () => {
    for (const { key, value } of entries) store.put(key, value);
    await sleep(milliseconds / 2);
    for (const [index, { key }] of entries.entries()) {
      const other = entries[entries.length - 1 - index];
      if (other && index % 2 === 0) store.put(key, other.value);
    }
    await sleep(milliseconds / 2);
    for (const { key } of entries) store.remove(key);
  });
}
