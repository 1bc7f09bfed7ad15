/**
 * Registers this node in the store, so that nodes that start later can find it.
 */
import { rankRendezvous } from '../../hashRendezvous/index.js';
import type { Store } from '../../../types/store/index.js';

/** Options of {@link createNodeRegistration}. */
export interface CreateNodeRegistrationOptions {
  readonly store: Store;
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
  /** Revokes the lease of the registration, if there is one. */
  readonly end: () => Promise<void>;
}

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
 * should no longer be registered lets its lease expire.
 *
 * @param options - the store, the key and the value
 * @returns the registration
 * @example
 * createNodeRegistration({ store, key: 'nodes/node-1', getValue, shouldRegister }).step();
 */
export function createNodeRegistration(options: CreateNodeRegistrationOptions): NodeRegistration {
  const { store, key, getValue, shouldRegister } = options;
  let lease: number | undefined;
  let hasWaited = false;
  const renew = async (current: number): Promise<number> => {
    const renewed = await store.renewLease(current);
    if (renewed.kind === 'done') return ROUND_MILLISECONDS;
    if (renewed.kind === 'rejected' || renewed.kind === 'restored') lease = undefined;
    return RETRY_MILLISECONDS;
  };
  const register = async (): Promise<number> => {
    const granted = await store.grantLease(LEASE_MILLISECONDS);
    if (granted.kind !== 'done') return RETRY_MILLISECONDS;
    const value = Buffer.from(getValue());
    const written = await store.transact({
      expected: [],
      puts: [{ key, value, lease: granted.value }],
      remove: [],
    });
    if (written.kind !== 'done') return RETRY_MILLISECONDS;
    lease = granted.value;
    return ROUND_MILLISECONDS;
  };
  return {
    step: () => {
      if (!hasWaited) {
        hasWaited = true;
        return Promise.resolve(FIRST_PAUSE_MILLISECONDS);
      }
      if (!shouldRegister()) {
        lease = undefined;
        return Promise.resolve(RETRY_MILLISECONDS);
      }
      return lease === undefined ? register() : renew(lease);
    },
    end: async () => {
      if (lease !== undefined) await store.revokeLease(lease);
    },
  };
}
