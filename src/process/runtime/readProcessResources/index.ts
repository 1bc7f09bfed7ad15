/**
 * Memory and descriptors that the process may use.
 */
import { readFileSync } from 'node:fs';
import { getHeapStatistics } from 'node:v8';
import type { ProcessResources } from '../../../connection/deriveCallerLimits/index.js';

const LIMITS_FILE = '/proc/self/limits';
/** Descriptors where the limit cannot be read. */
const ASSUMED_DESCRIPTORS = 4_096;
/** Memory that a process uses beside its heap, as a multiple of the maximum size of the heap. */
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
 * Reads the limits of the process, and lowers them to those that its settings state.
 *
 * @param stated - memory in bytes and descriptors from the settings, if any
 * @returns memory in bytes and number of descriptors
 * @example
 * readProcessResources({ descriptors: 4_100 }).descriptors; // at most 4,100
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
    descriptors: Math.min(readDescriptors(), stated.descriptors ?? Infinity),
  };
}
