/**
 * Client of the platform's key-value service and VM list.
 */
import http from 'node:http';
import {
  platformResultSchema,
  type PlatformCall,
  type PlatformResult,
} from '../../../types/platform/index.js';
import { parseJson } from '../../parseJson/index.js';
import { callHttp, type HttpResult } from '../callHttp/index.js';

/** Options of {@link createPlatformClient}. */
export interface CreatePlatformClientOptions {
  readonly address: string;
  /** Bearer key; empty for none. */
  readonly key: string;
}

/** A client of the platform. */
export interface PlatformClient {
  readonly call: (
    call: PlatformCall,
    timeoutMilliseconds: number,
    done: (result: PlatformResult) => void,
  ) => void;
  readonly close: () => void;
}

const SUCCESS_STATUS = 200;

function parseResult(body: string): PlatformResult {
  return platformResultSchema.safeParse(parseJson(body)).data ?? { kind: 'unknown' };
}

function readResult(result: HttpResult): PlatformResult {
  if (result.kind === 'failed') return { kind: result.sent ? 'unknown' : 'refused' };
  return result.status === SUCCESS_STATUS ? parseResult(result.body) : { kind: 'unknown' };
}

/**
 * Creates a client of the platform.
 *
 * A call that fails before its connection is established has the result `refused`, which guarantees no
 * effect; any other failure has the result `unknown`.
 *
 * @param options - address and key of the platform
 * @returns the client
 * @example
 * createPlatformClient({ address: '127.0.0.1:7000', key: '' }).call({ kind: 'listVms' }, 1000, done);
 */
export function createPlatformClient(options: CreatePlatformClientOptions): PlatformClient {
  const agent = new http.Agent({ keepAlive: true, maxSockets: 64 });
  const headers = {
    'content-type': 'application/json',
    ...(options.key !== '' && { authorization: `Bearer ${options.key}` }),
  };
  return {
    call: (call, timeoutMilliseconds, done) => {
      callHttp(
        {
          address: options.address,
          method: 'POST',
          path: `/v1/${call.kind}`,
          headers,
          body: JSON.stringify(call),
          timeoutMilliseconds,
          agent,
        },
        (result) => {
          done(readResult(result));
        },
      );
    },
    close: () => {
      agent.destroy();
    },
  };
}
