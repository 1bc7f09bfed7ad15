/**
 * Memory and descriptors that the process may use.
 */
import { readFileSync } from 'node:fs';
import { getHeapStatistics } from 'node:v8';
import type { ProcessResources } from '../../../connection/deriveCallerLimits/index.js';

const LIMITS_FILE = '/proc/self/limits';
/** Descriptors where the limit cannot be read. */
const ASSUMED_DESCRIPTORS = 4_096;
/** Memory of a process, its heap included, as a multiple of the maximum size of the heap. */
const MEMORY_PER_HEAP = 1.25;

function readDescriptors(): number {
  try {
    const limit = /^Max open files\s+(\d+)/m.exec(readFileSync(LIMITS_FILE, 'utf8'));
    return limit ? Number(limit[1]) : ASSUMED_DESCRIPTORS;
  } catch {
    return ASSUMED_DESCRIPTORS;
  }
}

/**
 * Reads the limits of the process; those that its settings state go first for descriptors, and lower the memory.
 *
 * @param stated - memory in bytes and descriptors from the settings, if any
 * @returns memory in bytes and number of descriptors
 * @example
 * readProcessResources({ descriptors: 4_100 }).descriptors; // 4,100
 */
export function readProcessResources(
  stated: { readonly [Name in keyof ProcessResources]?: number | undefined } = {},
): ProcessResources {
  // 0 when the process has no control group with a limit.
  const constrained = process.constrainedMemory();
  return {
    memoryBytes: Math.min(
      getHeapStatistics().heap_size_limit * MEMORY_PER_HEAP,
      constrained > 0 ? constrained : Infinity,
      stated.memoryBytes ?? Infinity,
    ),
    // The limit of the process may count less than the platform grants, which its settings state.
    descriptors: stated.descriptors ?? readDescriptors(),
  };
}
