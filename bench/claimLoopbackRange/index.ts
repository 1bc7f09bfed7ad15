/**
 * Claims a range of loopback addresses for this process, so that no other process uses the same.
 */
import { createServer, type Server } from 'node:net';
import { z } from 'zod';
import { listenOnLoopback } from '../../standins/listenOnLoopback/index.js';

/** Second octets of the ranges. */
const FIRST_RANGE = 64;
const RANGES = 128;
/** Host and port in each range that the process which has claimed it listens on. */
const CLAIM_HOST = '10.1';
const CLAIM_PORT = 7_339;

const inUseSchema = z.object({ code: z.literal('EADDRINUSE') });

/** Binds the claim of a range; resolves to undefined when another process has it. */
async function bindClaim(range: number): Promise<Server | undefined> {
  const server = createServer().unref();
  try {
    await listenOnLoopback(server, { host: `127.${range}.${CLAIM_HOST}`, port: CLAIM_PORT });
    return server;
  } catch (error) {
    if (inUseSchema.safeParse(error).success) return undefined;
    throw error;
  }
}

async function claimFreeRange(): Promise<number> {
  for (let attempt = 0; attempt < RANGES; attempt += 1) {
    const range = FIRST_RANGE + ((process.pid + attempt) % RANGES);
    if (await bindClaim(range)) return range;
  }
  throw new Error(`all ${RANGES} ranges of loopback addresses are in use`);
}

let claimed: Promise<number> | undefined;

/**
 * Claims a range at the first call; the process holds it until it exits.
 *
 * @returns the second octet of the addresses; rejects when all ranges are in use
 * @example
 * await claimLoopbackRange(); // 77, for the addresses 127.77.0.0 to 127.77.255.255
 */
export function claimLoopbackRange(): Promise<number> {
  claimed ??= claimFreeRange();
  return claimed;
}
