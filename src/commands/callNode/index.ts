/**
 * Client of a node's operator interface for the command line.
 */
import { readFileSync } from 'node:fs';
import { Result } from 'true-myth';
import { z } from 'zod';
import { callHttp } from '../../process/runtime/callHttp/index.js';
import { RESULT_CODES, type ResultCodeName } from '../../process/resultCodes/index.js';
import { printError } from '../printOutput/index.js';

/** Arguments of every command that calls a node. */
export const NODE_ARGUMENTS = {
  node: {
    type: 'string',
    description: "address of a node's operator interface",
    default: '127.0.0.1:8201',
  },
  'key-file': {
    type: 'string',
    description: "file with the operators' key; without it, MARJORAMCLEAT_KEY is read",
  },
  output: { type: 'string', description: 'table or json', default: 'table' },
} as const;

/** Values of {@link NODE_ARGUMENTS}. */
export interface NodeArguments {
  readonly node: string;
  readonly 'key-file'?: string | undefined;
  readonly output: string;
}

/** Failure of a call. */
export interface CallFailure {
  readonly code: ResultCodeName;
  readonly message: string;
}

const CALL_TIMEOUT_MILLISECONDS = 15_000;
const SUCCESS_STATUS = 200;

const errorSchema = z.object({ error: z.object({ code: z.number(), message: z.string() }) });

function readKey(file: string | undefined): string {
  if (file === undefined) return (process.env.MARJORAMCLEAT_KEY ?? '').trim();
  return readFileSync(file, 'utf8').trim();
}

function findCode(number: number): ResultCodeName {
  const names = Object.keys(RESULT_CODES) as ResultCodeName[];
  return names.find((name) => RESULT_CODES[name].code === number) ?? 'malformedRequest';
}

function readFailure(body: string): CallFailure {
  try {
    const { error } = errorSchema.parse(JSON.parse(body));
    return { code: findCode(error.code), message: error.message };
  } catch {
    return {
      code: 'nodeUnreachable',
      message: 'cannot read the response; the node may run another version',
    };
  }
}

/**
 * Calls a node's operator interface.
 *
 * @param options - address and key
 * @param method - HTTP method
 * @param path - path of the request
 * @param body - value to send as JSON, if any
 * @returns the parsed response, or the result code and message of the failure
 * @example
 * await callNode({ node: '127.0.0.1:8201', output: 'json' }, 'GET', '/v1/status');
 */
export function callNode(
  options: NodeArguments,
  method: string,
  path: string,
  body?: unknown,
): Promise<Result<unknown, CallFailure>> {
  let key: string;
  try {
    key = readKey(options['key-file']);
  } catch {
    const message = `the key file '${options['key-file'] ?? ''}' cannot be read; check --key-file`;
    return Promise.resolve(Result.err({ code: 'invalidSettings', message }));
  }
  return new Promise((resolve) => {
    callHttp(
      {
        address: options.node,
        method,
        path,
        headers: { authorization: `Bearer ${key}`, 'content-type': 'application/json' },
        ...(body !== undefined && { body: JSON.stringify(body) }),
        timeoutMilliseconds: CALL_TIMEOUT_MILLISECONDS,
      },
      (result) => {
        if (result.kind === 'failed') {
          const message = `no answer from ${options.node}; is a node running there? See --node`;
          resolve(Result.err({ code: 'nodeUnreachable', message }));
          return;
        }
        if (result.status === SUCCESS_STATUS) resolve(Result.ok(JSON.parse(result.body)));
        else resolve(Result.err(readFailure(result.body)));
      },
    );
  });
}

/**
 * Calls a node and prints the failure, if any.
 *
 * @param options - address and key
 * @param method - HTTP method
 * @param path - path of the request
 * @param body - value to send as JSON, if any
 * @returns the parsed response, or undefined after printing a failure
 * @example
 * const status = await callOrPrint(options, 'GET', '/v1/status');
 */
export async function callOrPrint(
  options: NodeArguments,
  method: string,
  path: string,
  body?: unknown,
): Promise<unknown> {
  const result = await callNode(options, method, path, body);
  if (result.isOk) return result.value;
  printError(result.error.code, result.error.message);
  return undefined;
}
