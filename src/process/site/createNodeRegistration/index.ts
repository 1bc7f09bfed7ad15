/**
 * Registers this node in the store, so that nodes that start later can find it.
 */
import { rankRendezvous } from '../../hashRendezvous/index.js';
import type { Store } from '../../../types/store/index.js';
import type { SiteLogger } from '../createSiteLogger/index.js';

/** Options of {@link createNodeRegistration}. */
export interface CreateNodeRegistrationOptions {
  readonly store: Store;
  readonly logger: SiteLogger;
  readonly key: string;
  /** Returns the value to store under the key. */
  readonly getValue: () => string;
  /** Returns whether the node should be registered now. */
  readonly shouldRegister: () => boolean;
}

/** Registration of a node. */
export interface NodeRegistration {
  /** Runs one round; resolves to the pause before the next one, in milliseconds. */
  readonly step: () => Promise<number>;
  /** Records that the node's item disappeared from the store; the next round writes it again. */
  readonly recordRemoval: () => void;
  /** Removes the node's item, if it is still as this node wrote it, and ends all rounds. */
  readonly end: () => Promise<void>;
}

/** Item of the node in the store. */
interface WrittenItem {
  readonly lease: number;
  readonly revision: number;
}

/** Why a node writes its item. */
type RegistrationCause = 'new' | 'expired' | 'restored' | 'missing';

const LEASE_MILLISECONDS = 15_000;
const ROUND_MILLISECONDS = 5_000;
const RETRY_MILLISECONDS = 1_000;
/**
 * Time in which a new node receives the records of its zone peers, so that it does not register when
 * enough of them already are.
 */
const FIRST_PAUSE_MILLISECONDS = 1_500;

/** Number of nodes of an availability zone that are registered; they know all others. */
const INTRODUCERS = 4;

/**
 * Returns whether a node is one of those that introduce new nodes to the nodes of their zone.
 *
 * @param self - name of the node
 * @param zonePeers - names of the live nodes of its availability zone, itself included
 * @returns true when the node introduces new nodes
 * @example
 * isIntroducer('node-1', ['node-1', 'node-2']); // true
 */
export function isIntroducer(self: string, zonePeers: readonly string[]): boolean {
  return rankRendezvous('introduces', zonePeers).slice(0, INTRODUCERS).includes(self);
}

/**
 * Creates a registration under a lease.
 *
 * It only introduces nodes to each other; whether a node is live shows in its messages. A node that
 * should no longer be registered lets its lease expire. A store that was restored from an older copy may
 * have given the node's lease to another node, so the node takes a new one then.
 *
 * @param options - the store, the key and the value
 * @returns the registration
 * @example
 * createNodeRegistration({ store, logger, key: 'nodes/node-1', getValue, shouldRegister }).step();
 */
export function createNodeRegistration(options: CreateNodeRegistrationOptions): NodeRegistration {
  const { store, logger, key, getValue, shouldRegister } = options;
  let item: WrittenItem | undefined;
  let isMissing = false;
  let hasWaited = false;
  let hasEnded = false;

  const removeItem = async (): Promise<void> => {
    if (!item) return;
    // Not by its lease: between the call and its arrival, a restored store may have given that to another node.
    const { revision } = item;
    item = undefined;
    await store.transact({ expected: [{ key, revision }], puts: [], remove: [key] });
  };
  const write = async (lease: number, cause: RegistrationCause): Promise<number> => {
    item = undefined;
    isMissing = false;
    const value = Buffer.from(getValue());
    const written = await store.transact({
      expected: [],
      puts: [{ key, value, lease }],
      remove: [],
    });
    if (written.kind !== 'done') return RETRY_MILLISECONDS;
    item = { lease, revision: written.value };
    logger.log('registered', { cause });
    if (hasEnded) await removeItem();
    return ROUND_MILLISECONDS;
  };
  const register = async (cause: RegistrationCause): Promise<number> => {
    item = undefined;
    const granted = await store.grantLease(LEASE_MILLISECONDS);
    return granted.kind === 'done' ? write(granted.value, cause) : RETRY_MILLISECONDS;
  };
  const renew = async (lease: number): Promise<number> => {
    const renewed = await store.renewLease(lease);
    if (hasEnded || renewed.kind === 'refused' || renewed.kind === 'unknown')
      return RETRY_MILLISECONDS;
    if (renewed.kind === 'rejected') return register('expired');
    if (renewed.kind === 'restored') return register('restored');
    return isMissing ? write(lease, 'missing') : ROUND_MILLISECONDS;
  };
  return {
    step: () => {
      if (!hasWaited) {
        hasWaited = true;
        return Promise.resolve(FIRST_PAUSE_MILLISECONDS);
      }
      if (hasEnded || !shouldRegister()) {
        item = undefined;
        return Promise.resolve(RETRY_MILLISECONDS);
      }
      return item ? renew(item.lease) : register('new');
    },
    recordRemoval: () => {
      isMissing = true;
    },
    end: async () => {
      hasEnded = true;
      await removeItem();
    },
  };
}
