/**
 * Admission of a request by the configuration in force.
 */
import type { RequestMetadata } from '../../../types/relay/index.js';
import type { SiteAccount, SiteRoute } from '../../../types/site/index.js';
import type { CompiledSiteConfiguration } from '../../../version/compileSiteConfiguration/index.js';
import type { ResultCodeName } from '../../resultCodes/index.js';

/** What is known of a request before its body is read. */
export interface RequestHead {
  readonly host: string;
  /** Path with its query. */
  readonly url: string;
  /** Length of the header block. */
  readonly headerBytes: number;
  readonly caller: RequestMetadata;
}

/** Why a request is not admitted, and when its caller may come back. */
export interface AdmissionRefusal {
  readonly kind: 'refused';
  readonly code: ResultCodeName;
  readonly retryAfterSeconds?: number;
}

/** A request that may run. */
export interface Admitted {
  readonly kind: 'admitted';
  readonly compiled: CompiledSiteConfiguration;
  readonly route: SiteRoute;
  readonly account: SiteAccount | undefined;
}

/** Outcome of an admission. */
export type Admission = AdmissionRefusal | Admitted;

/** Options of {@link admitRequest}. */
export interface AdmitRequestOptions {
  readonly head: RequestHead;
  /** The configuration in force; undefined until there is one. */
  readonly compiled: CompiledSiteConfiguration | undefined;
  /** For how long the node has been leaving, in milliseconds; undefined when it stays. */
  readonly leavingMilliseconds: number | undefined;
}

/** When callers may come back to a node that has no configuration yet, in seconds. */
const NOT_CONFIGURED_RETRY_SECONDS = 0.3;
/** When callers may come back to another node after a leaving one refused them, in seconds. */
const LEAVING_RETRY_SECONDS = 0.05;
/** How long a leaving node takes new streams, since callers hold old answers that name it. */
const LEAVING_STREAMS_MILLISECONDS = 2_500;

/**
 * Decides whether a request may run.
 *
 * @param options - the request's head, the configuration and whether the node leaves
 * @returns the route and the client account, or the refusal
 * @example
 * admitRequest({ head, compiled: undefined, leavingMilliseconds: undefined }).kind; // 'refused'
 */
export function admitRequest(options: AdmitRequestOptions): Admission {
  const { head, compiled, leavingMilliseconds = 0 } = options;
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
  if (route.kind === 'stream' && leavingMilliseconds > LEAVING_STREAMS_MILLISECONDS) {
    // It could be cut off in its middle, while another node can run it whole.
    return { kind: 'refused', code: 'leaving', retryAfterSeconds: LEAVING_RETRY_SECONDS };
  }
  return { kind: 'admitted', compiled, route, account };
}
