/**
 * Node of the platform build in a process of its own with lowered limits, with a store on loopback.
 */
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import type { TestContext } from 'node:test';
import { createNodeSettings } from '../../../standins/servePlatformSite/index.js';
import { listenOnLoopback } from '../../../standins/listenOnLoopback/index.js';
import type { SiteStore } from '../../../standins/serveSiteStore/index.js';
import { sendCallerRequest, startStore } from '../siteNodes/index.js';
import {
  startServerProcess,
  type ProcessLimits,
  type ServerProcess,
} from '../serverProcess/index.js';

const HOST = '127.0.0.1';

/** Options of {@link startPlatformProcess}. */
export interface StartPlatformProcessOptions {
  /** Path of the platform build. */
  readonly program: string;
  readonly limits: ProcessLimits;
  /** Memory that the settings state, in megabytes. */
  readonly memoryMegabytes: number;
  readonly configuration: object;
}

/** Running node with its store. */
export interface PlatformProcess {
  readonly process: ServerProcess;
  readonly store: SiteStore;
  readonly host: string;
  readonly callerPort: number;
}

/** Finds free ports of the loopback address. */
export async function findFreePorts(count: number): Promise<number[]> {
  const servers = Array.from({ length: count }, () => createServer());
  const addresses = await Promise.all(
    servers.map((server) => listenOnLoopback(server, { host: HOST })),
  );
  await Promise.all(servers.map((server) => new Promise((resolve) => server.close(resolve))));
  return addresses.map((address) => Number(address.split(':')[1]));
}

/** Returns the status of a response, or undefined without one. */
export async function readStatus(
  port: number,
  path: string,
  headers: Readonly<Record<string, string>> = {},
): Promise<number | undefined> {
  try {
    return (await sendCallerRequest({ address: `${HOST}:${port}`, path, headers })).status;
  } catch {
    return undefined;
  }
}

/** Creates a folder that is removed after a test. */
export function createFolder(context: TestContext): string {
  const folder = mkdtempSync(join(tmpdir(), 'process-limits-'));
  context.after(() => {
    rmSync(folder, { recursive: true });
  });
  return folder;
}

/** Starts a node, which ends after the test together with its store. */
export async function startPlatformProcess(
  context: TestContext,
  { program, limits, memoryMegabytes, configuration }: StartPlatformProcessOptions,
): Promise<PlatformProcess> {
  const folder = createFolder(context);
  const store = await startStore();
  store.put('op/config', configuration);
  const ports = await findFreePorts(4);
  const [callerPort = 0, readinessPort = 0, directoryPort = 0, peerPort = 0] = ports;
  const addresses = { ip: HOST, callerPort, readinessPort, directoryPort, peerPort };
  const settings = {
    ...createNodeSettings(0, addresses, { storeAddress: store.address, seeds: [] }),
    limits: { memory_mb: memoryMegabytes, max_fds: limits.descriptors },
  };
  const path = join(folder, 'settings.json');
  writeFileSync(path, JSON.stringify(settings));
  const server = startServerProcess([program], { MARJORAMCLEAT_BOOT: path }, limits);
  context.after(async () => {
    await server.end();
    await store.close();
  });
  return { process: server, store, host: HOST, callerPort };
}
