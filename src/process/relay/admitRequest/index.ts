/**
 * Admission of requests under the current configuration.
 */
import type { RequestMetadata } from '../../../types/relay/index.js';
import type { SiteAccount, SiteRoute } from '../../../types/site/index.js';
import type { CompiledSiteConfiguration } from '../../../version/compileSiteConfiguration/index.js';
import type { ResultCodeName } from '../../resultCodes/index.js';
import { computeTimeLimit } from '../computeTimeLimit/index.js';

/** Request before its body is read. */
export interface RequestHead {
  readonly host: string;
  /** Path and query. */
  readonly url: string;
  /** Length of the header block in bytes. */
  readonly headerBytes: number;
  readonly caller: RequestMetadata;
}

/** Refusal of a request: the result code and the time after which the caller may retry. */
export interface AdmissionRefusal {
  readonly kind: 'refused';
  readonly code: ResultCodeName;
  readonly retryAfterSeconds?: number;
}

/** Admission of a request: its route and client account. */
export interface Admitted {
  readonly kind: 'admitted';
  readonly compiled: CompiledSiteConfiguration;
  readonly route: SiteRoute;
  readonly account: SiteAccount | undefined;
}

/** Result of {@link admitRequest}. */
export type Admission = AdmissionRefusal | Admitted;

/** Period in which a node leaves; times in milliseconds. */
export interface LeavingPeriod {
  readonly startedAt: number;
  /** When the node stops at the latest. */
  readonly endsAt: number;
}

/** Options of {@link admitRequest}. */
export interface AdmitRequestOptions {
  readonly head: RequestHead;
  /** Current configuration; undefined until the node has one. */
  readonly compiled: CompiledSiteConfiguration | undefined;
  /** Undefined when the node is not leaving. */
  readonly leaving: LeavingPeriod | undefined;
  /** Current time in milliseconds. */
  readonly now: number;
}

/** `Retry-After` of a node that has no configuration yet, in seconds. */
const NOT_CONFIGURED_RETRY_SECONDS = 0.3;
/** `Retry-After` of a leaving node, in seconds; the retry goes to another node. */
export const LEAVING_RETRY_SECONDS = 0.05;
/** Time for which a leaving node admits all requests, since callers hold older replies that name it. */
const LEAVING_ADMISSION_MILLISECONDS = 2_500;

/** Returns whether a leaving node could stop before the request has its response. */
function mayOutlastNode(
  { startedAt, endsAt }: LeavingPeriod,
  route: SiteRoute,
  caller: RequestMetadata,
  now: number,
): boolean {
  if (now - startedAt <= LEAVING_ADMISSION_MILLISECONDS) return false;
  return route.kind === 'stream' || now + computeTimeLimit(route, caller) > endsAt;
}

/**
 * Checks whether a request is admitted.
 *
 * @param options - the request's head, the configuration, the time, and when the node leaves
 * @returns the route and the client account, or the refusal
 * @example
 * admitRequest({ head, compiled: undefined, leaving: undefined, now: 0 }).kind; // 'refused'
 */
export function admitRequest(options: AdmitRequestOptions): Admission {
  const { head, compiled, leaving, now } = options;
  if (!compiled) {
    const retryAfterSeconds = NOT_CONFIGURED_RETRY_SECONDS;
    return { kind: 'refused', code: 'notConfigured', retryAfterSeconds };
  }
  if (head.headerBytes > compiled.configuration.limits.headerBytes) {
    return { kind: 'refused', code: 'headersTooLarge' };
  }
  const host = head.host.replace(/:\d+$/, '');
  const path = head.url.split('?', 1)[0] ?? '/';
  const route = compiled.findRoute(host, path);
  if (!route) return { kind: 'refused', code: 'notFound' };
  const { apiKey } = head.caller;
  const account = apiKey === undefined ? undefined : compiled.findAccount(apiKey);
  if (compiled.requiresKey && !route.isPublic && !account) {
    return { kind: 'refused', code: 'unauthorized' };
  }
  if (leaving && mayOutlastNode(leaving, route, head.caller, now)) {
    // The shutdown could interrupt the request; another node can run it to its end.
    return { kind: 'refused', code: 'leaving', retryAfterSeconds: LEAVING_RETRY_SECONDS };
  }
  return { kind: 'admitted', compiled, route, account };
}
