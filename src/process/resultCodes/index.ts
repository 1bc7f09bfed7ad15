/**
 * Numbered result codes. Every error that is returned to a caller or an operator has one of them.
 */

/** What an error guarantees about the execution of the request. */
export type RequestOutcome = 'not-run' | 'unknown' | 'answered';

/** Entry of the table of result codes. */
export interface ResultCode {
  readonly code: number;
  readonly name: string;
  readonly httpStatus: number;
  readonly outcome: RequestOutcome;
  readonly meaning: string;
}

const define = (
  code: number,
  name: string,
  httpStatus: number,
  outcome: RequestOutcome,
  meaning: string,
): ResultCode => ({ code, name, httpStatus, outcome, meaning });

/** Table of result codes by name. A test compares `docs/RESULT-CODES.md` with it. */
export const RESULT_CODES = {
  malformedRequest: define(
    1400,
    'malformed-request',
    400,
    'not-run',
    'The request cannot be read.',
  ),
  unauthorized: define(1401, 'unauthorized', 401, 'not-run', 'The bearer key is missing or wrong.'),
  keyRequired: define(
    1402,
    'idempotency-key-required',
    400,
    'not-run',
    'A call that may not be repeated needs an Idempotency-Key.',
  ),
  notFound: define(1404, 'not-found', 404, 'not-run', 'No such path, model, service or object.'),
  methodNotAllowed: define(
    1405,
    'method-not-allowed',
    405,
    'not-run',
    'The path does not take this method.',
  ),
  bodyTimeout: define(1408, 'body-timeout', 408, 'not-run', 'The body did not arrive in time.'),
  keyReused: define(
    1409,
    'idempotency-key-reused',
    409,
    'not-run',
    'The Idempotency-Key belongs to a different request.',
  ),
  changeConflict: define(
    1410,
    'change-conflict',
    409,
    'not-run',
    'Another change to the same object was accepted first.',
  ),
  invalidChange: define(1411, 'invalid-change', 422, 'not-run', 'The change fails validation.'),
  bodyTooLarge: define(1413, 'body-too-large', 413, 'not-run', 'The body exceeds the limit.'),
  headersTooLarge: define(
    1431,
    'headers-too-large',
    431,
    'not-run',
    'The header block exceeds the limit.',
  ),
  rateLimited: define(
    1429,
    'rate-limited',
    429,
    'not-run',
    'The client account is over its limit; see Retry-After.',
  ),
  overloaded: define(
    1503,
    'overloaded',
    503,
    'not-run',
    'The deadline cannot be met; see Retry-After.',
  ),
  noEndpoint: define(
    1504,
    'no-endpoint',
    503,
    'not-run',
    'No live endpoint can serve the request now.',
  ),
  storeUnavailable: define(
    1505,
    'store-unavailable',
    503,
    'not-run',
    'The platform service did not answer, so the call was not sent.',
  ),
  outcomeUnknown: define(
    1506,
    'outcome-unknown',
    504,
    'unknown',
    'The call was sent and its result is not known.',
  ),
  interrupted: define(
    1507,
    'interrupted',
    504,
    'unknown',
    'The answer was cut off; resume with Last-Event-ID.',
  ),
  changeUnsettled: define(
    1508,
    'change-unsettled',
    503,
    'unknown',
    'The platform service did not confirm whether the change was accepted.',
  ),
  notConfigured: define(
    1509,
    'not-configured',
    503,
    'not-run',
    'The node has no configuration yet.',
  ),
  endpointFailed: define(
    1510,
    'endpoint-failed',
    502,
    'unknown',
    'The endpoint broke off or sent no proper answer.',
  ),
  leaving: define(
    1511,
    'leaving',
    503,
    'not-run',
    'The node is leaving; another one takes the request.',
  ),
  blocked: define(
    1512,
    'request-blocked',
    503,
    'not-run',
    'The request, or a part of its prompt, crashed endpoints; see Retry-After.',
  ),
  invalidSettings: define(
    1601,
    'invalid-settings',
    500,
    'not-run',
    'The settings file is invalid.',
  ),
  addressInUse: define(1602, 'address-in-use', 500, 'not-run', 'A listening address is in use.'),
  nodeUnreachable: define(1603, 'node-unreachable', 502, 'not-run', 'The node did not answer.'),
} as const satisfies Record<string, ResultCode>;

/** Name of an entry of {@link RESULT_CODES}. */
export type ResultCodeName = keyof typeof RESULT_CODES;
