/**
 * Stand-in of a booking service: counts calls by idempotency key and does not deduplicate them.
 */
import { hashText } from '../../src/process/hashRendezvous/index.js';
import { listenStandin, readText, replyJson, type Standin } from '../listenStandin/index.js';

/** Options of {@link serveService}. */
export interface ServeServiceOptions {
  readonly name: string;
  readonly port: number;
  readonly seed: number;
  /** Calls by idempotency key, shared by all endpoints of a service. */
  readonly counts?: Map<string, number>;
}

/** Running endpoint of a service. */
export interface ServiceStandin extends Standin {
  readonly name: string;
  readonly counts: Map<string, number>;
  /** Makes the endpoint refuse new calls. */
  readonly leave: () => void;
}

/**
 * Computes the reference of a booking, so that tests can compare it with the response.
 *
 * @param key - idempotency key
 * @param body - body of the call
 * @returns the reference
 * @example
 * computeReference('booking-1', '{"bay":3}');
 */
export function computeReference(key: string, body: string): string {
  return `ref-${hashText(`${key}/${body}`).toString(36)}`;
}

/**
 * Serves an endpoint of a service.
 *
 * @param options - name, port, seed of the faults, and shared counts
 * @returns the stand-in
 * @example
 * await serveService({ name: 'booking-1', port: 0, seed: 1 });
 */
export async function serveService(options: ServeServiceOptions): Promise<ServiceStandin> {
  const { name, counts = new Map<string, number>() } = options;
  let leaving = false;
  const standin = await listenStandin({
    port: options.port,
    seed: options.seed,
    handle: (request, response, faults) => {
      const url = request.url ?? '/';
      if (url === '/counts') {
        replyJson(response, faults, url, Object.fromEntries(counts));
        return;
      }
      if (leaving) {
        request.resume();
        replyJson(response, faults, url, { refused: 'leaving' }, 503);
        return;
      }
      readText(request, (body) => {
        const key = request.headers['idempotency-key'];
        if (typeof key === 'string') counts.set(key, (counts.get(key) ?? 0) + 1);
        const reference = computeReference(typeof key === 'string' ? key : '', body);
        replyJson(response, faults, url, { service: name, method: request.method, url, reference });
      });
    },
  });
  return {
    ...standin,
    name,
    counts,
    leave: () => {
      leaving = true;
    },
  };
}
