/**
 * The bundle of the program.
 */
import { build } from 'esbuild';

/** Path of the bundle. */
export const BUNDLE = 'dist/marjoramcleat.cjs';

/**
 * Builds the bundle that the executable is made from.
 *
 * @param version - version to build in, if any
 * @returns nothing; rejects when a source file is wrong
 * @example
 * await buildBundle('0.1.0');
 */
export async function buildBundle(version?: string): Promise<void> {
  await build({
    entryPoints: ['src/main.ts'],
    bundle: true,
    platform: 'node',
    target: 'node20',
    format: 'cjs',
    outfile: BUNDLE,
    logLevel: 'error',
    ...(version !== undefined && {
      define: { 'process.env.MARJORAMCLEAT_VERSION': JSON.stringify(version) },
    }),
  });
}
