/**
 * Registration of a node with the platform, by which nodes discover peers.
 */
import { memberSchema, type Member } from '../../../types/peer/index.js';
import { parseJson } from '../../parseJson/index.js';
import type { NodeContext } from '../../node/createContext/index.js';
import type { Membership } from '../createMembership/index.js';

/** Options of {@link createRegistration}. */
export interface CreateRegistrationOptions {
  readonly context: NodeContext;
  readonly membership: Membership;
  /** Addresses of peers from the settings, for a start while the platform is unavailable. */
  readonly seeds: readonly string[];
}

/** The registration of one node. */
export interface Registration {
  readonly start: () => void;
}

const REGISTRATION_LEASE_MILLISECONDS = 60_000;
const RENEW_INTERVAL_MILLISECONDS = 20_000;
const RETRY_MILLISECONDS = 1_000;
const ISOLATED_READ_INTERVAL_MILLISECONDS = 1_000;
const READ_INTERVAL_MILLISECONDS = 60_000;
const MEMBER_KEY_PREFIX = 'members/';

function readMember(text: string): Member | undefined {
  return memberSchema.safeParse(parseJson(text)).data;
}

/**
 * Creates the component that registers a node with the platform and reads its peers from there.
 *
 * The registration only serves peer discovery; gossip alone determines which nodes are live. A node
 * that knows no live peer reads the registrations every second, other nodes every minute.
 *
 * @param options - the context, the membership that receives the peers, and the seed addresses
 * @returns the registration
 * @example
 * createRegistration({ context, membership, seeds: [] }).start();
 */
export function createRegistration(options: CreateRegistrationOptions): Registration {
  const { context, membership } = options;
  const key = `${MEMBER_KEY_PREFIX}${context.node}`;

  const retry = (): void => {
    context.schedule(RETRY_MILLISECONDS * (0.5 + context.random()), register);
  };
  const renew = (lease: string): void => {
    context.schedule(RENEW_INTERVAL_MILLISECONDS * (0.8 + 0.4 * context.random()), () => {
      context.callPlatform({ kind: 'renewLease', lease }, (result) => {
        if (result.kind === 'renewed' && !result.live) register();
        else renew(lease);
      });
    });
  };
  const write = (lease: string, expectedRevision: number): void => {
    const value = JSON.stringify(membership.self());
    context.callPlatform(
      { kind: 'compareAndSwap', key, expectedRevision, value, lease },
      (result) => {
        if (result.kind === 'swapped') renew(lease);
        else if (result.kind === 'conflict') write(lease, result.entry?.revision ?? 0);
        else retry();
      },
    );
  };
  const register = (): void => {
    context.callPlatform(
      { kind: 'grantLease', milliseconds: REGISTRATION_LEASE_MILLISECONDS },
      (result) => {
        if (result.kind === 'lease') write(result.lease, 0);
        else retry();
      },
    );
  };
  const readPeers = (): void => {
    context.callPlatform({ kind: 'list', prefix: MEMBER_KEY_PREFIX }, (result) => {
      if (result.kind === 'entries') {
        const members = result.entries.flatMap(({ value }) => readMember(value) ?? []);
        membership.addMembers(members.filter(({ node }) => node !== context.node));
      }
      const isIsolated = membership.listLiveNodes().every((node) => node === context.node);
      if (isIsolated) membership.contactSeeds(options.seeds);
      const interval = isIsolated
        ? ISOLATED_READ_INTERVAL_MILLISECONDS
        : READ_INTERVAL_MILLISECONDS;
      context.schedule(interval * (0.5 + context.random()), readPeers);
    });
  };

  return {
    start: () => {
      register();
      readPeers();
    },
  };
}
