/**
 * Builds the bundle of the program.
 */
import { build } from 'esbuild';

/** Path of the bundle. */
export const BUNDLE = 'dist/marjoramcleat.cjs';

/**
 * Builds the bundle that the executable is made from.
 *
 * @param version - version to embed, if any
 * @returns resolves when the bundle is written; rejects when the build fails
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
