/**
 * Stand-in of the platform over HTTP: `POST /v1/KIND`, `GET /counts`, `POST /vms`.
 */
import type http from 'node:http';
import { platformCallSchema, vmSchema, type PlatformCall } from '../../src/types/platform/index.js';
import type { Faults } from '../createFaults/index.js';
import { createPlatformState, type PlatformState } from '../createPlatformState/index.js';
import { listenStandin, readText, replyJson, type Standin } from '../listenStandin/index.js';

/** Options of {@link servePlatform}. */
export interface ServePlatformOptions {
  readonly port: number;
  readonly seed: number;
  readonly vmListLagMilliseconds?: number;
}

/** Running platform stand-in. */
export interface PlatformStandin extends Standin {
  readonly platform: PlatformState;
}

/** Responds to a watch when its key changes or its wait time has passed. */
function completeWatch(
  platform: PlatformState,
  call: Extract<PlatformCall, { kind: 'watch' }>,
  response: http.ServerResponse,
  faults: Faults,
): void {
  const finish = (): void => {
    clearTimeout(timer);
    stop();
    const found = platform.call(call) ?? platform.call({ kind: 'get', key: call.key });
    replyJson(response, faults, '/v1/watch', found);
  };
  const stop = platform.onChange((key) => {
    if (key === call.key) finish();
  });
  const timer = setTimeout(finish, call.waitMilliseconds);
  response.on('close', () => {
    clearTimeout(timer);
    stop();
  });
}

/**
 * Serves a platform.
 *
 * @param options - port, seed of the faults, and delay of the VM list
 * @returns the stand-in
 * @example
 * const { address, platform } = await servePlatform({ port: 0, seed: 1 });
 */
export async function servePlatform(options: ServePlatformOptions): Promise<PlatformStandin> {
  const platform = createPlatformState({
    clock: () => performance.now(),
    vmListLagMilliseconds: options.vmListLagMilliseconds ?? 0,
  });
  const performCall = (text: string, response: http.ServerResponse, faults: Faults): void => {
    const call = platformCallSchema.safeParse(JSON.parse(text || '{}')).data;
    if (!call) {
      replyJson(response, faults, '/v1/', { kind: 'refused' });
      return;
    }
    const result = platform.call(call);
    if (result) replyJson(response, faults, `/v1/${call.kind}`, result);
    else if (call.kind === 'watch') completeWatch(platform, call, response, faults);
  };
  const standin = await listenStandin({
    port: options.port,
    seed: options.seed,
    refusal: { status: 200, body: '{"kind":"refused"}' },
    handle: (request, response, faults) => {
      if (request.url === '/counts') {
        replyJson(response, faults, '/counts', platform.counts());
        return;
      }
      readText(request, (text) => {
        if (request.url !== '/vms') {
          performCall(text, response, faults);
          return;
        }
        platform.setVms(vmSchema.array().parse(JSON.parse(text)));
        replyJson(response, faults, '/vms', {});
      });
    },
  });
  return { ...standin, platform };
}
