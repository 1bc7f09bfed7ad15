/**
 * Emulated endpoints of a service without layers: slots, a queue, and failures.
 */
import { createRandom } from '../../src/process/createRandom/index.js';
import type { VirtualStore } from '../createVirtualStore/index.js';
import type { VirtualTime } from '../createVirtualTime/index.js';
import type { VirtualSite } from '../readScenario/index.js';

/** Response of an endpoint, with its load. */
export interface PlainResponse {
  readonly status: number;
  readonly isNotExecuted: boolean;
  readonly runningRequests: number;
  readonly waitingRequests: number;
}

/** Emulated plain endpoints of a site. */
export interface PlainFleet {
  /** Serves a call; `done` is called once, without a response when the endpoint fails. */
  readonly call: (address: string, attempt: string, done: (answer?: PlainResponse) => void) => void;
  /** Returns whether an address belongs to a plain endpoint. */
  readonly owns: (address: string) => boolean;
  readonly listAddresses: () => readonly string[];
  /** Number of executions of each attempt. */
  readonly runs: ReadonlyMap<string, number>;
  /** Writes the registrations of all endpoints. */
  readonly register: () => void;
  /** Sets the share of calls that the first `count` endpoints fail. */
  readonly setFailureShare: (count: number, share: number) => void;
}

/** Options of {@link createPlainFleet}. */
export interface CreatePlainFleetOptions {
  readonly site: VirtualSite;
  readonly time: VirtualTime;
  readonly store: Pick<VirtualStore, 'put'>;
  readonly seed: number;
}

/** Service that the plain endpoints belong to. */
export const PLAIN_SERVICE = 'booking';

interface Endpoint {
  readonly id: string;
  running: number;
  failureShare: number;
  readonly queue: (() => void)[];
}

/**
 * Creates the plain endpoints of a site and registers them.
 *
 * @param options - site, virtual time, store and seed of work times and failures
 * @returns the endpoints
 * @example
 * createPlainFleet({ site, time, store, seed: 1 }).owns('plain:0-0');
 */
export function createPlainFleet(options: CreatePlainFleetOptions): PlainFleet {
  const { site, time, store } = options;
  const { counts, slots, queue: maximumWaiting, workMilliseconds } = site.plain;
  const random = createRandom(options.seed + 11);
  const endpoints = new Map<string, Endpoint>();
  const runs = new Map<string, number>();
  const writes: (() => void)[] = [];
  counts.forEach((count, zone) => {
    for (let index = 0; index < count; index += 1) {
      const id = `plain-${zone}-${index}`;
      const address = `plain:${zone}-${index}`;
      endpoints.set(address, { id, running: 0, failureShare: 0, queue: [] });
      const record = {
        id,
        service: PLAIN_SERVICE,
        address,
        availabilityZone: site.availabilityZones[zone],
        isDraining: false,
        startedAt: 1,
        slots,
      };
      writes.push(() => {
        store.put(`endpoints/${id}`, JSON.stringify(record));
      });
    }
  });
  const register = (): void => {
    for (const write of writes) write();
  };
  register();
  const run = (
    endpoint: Endpoint,
    attempt: string,
    done: (answer?: PlainResponse) => void,
  ): void => {
    endpoint.running += 1;
    runs.set(attempt, (runs.get(attempt) ?? 0) + 1);
    // The work time is exponentially distributed.
    time.schedule(-Math.log(1 - random()) * workMilliseconds, () => {
      endpoint.running -= 1;
      const isFailing = random() < endpoint.failureShare;
      const { running, queue } = endpoint;
      const load = { runningRequests: running, waitingRequests: queue.length };
      done(isFailing ? undefined : { status: 200, isNotExecuted: false, ...load });
      endpoint.queue.shift()?.();
    });
  };
  return {
    runs,
    register,
    owns: (address) => endpoints.has(address),
    listAddresses: () => [...endpoints.keys()],
    setFailureShare: (count, share) => {
      [...endpoints.values()].slice(0, count).forEach((endpoint) => {
        endpoint.failureShare = share;
      });
    },
    call: (address, attempt, done) => {
      const endpoint = endpoints.get(address);
      if (!endpoint) {
        done(undefined);
        return;
      }
      const { running, queue } = endpoint;
      if (running < slots) {
        run(endpoint, attempt, done);
        return;
      }
      if (queue.length >= maximumWaiting) {
        done({
          status: 503,
          isNotExecuted: true,
          runningRequests: running,
          waitingRequests: queue.length,
        });
        return;
      }
      queue.push(() => {
        run(endpoint, attempt, done);
      });
    },
  };
}
