/**
 * Builds `target/marjoramcleat-platform.cjs`, the node as the platform starts it.
 */
import { mkdirSync } from 'node:fs';
import { build } from 'esbuild';

mkdirSync('target', { recursive: true });
await build({
  entryPoints: ['platform/main.ts'],
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  outfile: 'target/marjoramcleat-platform.cjs',
  logLevel: 'error',
});
