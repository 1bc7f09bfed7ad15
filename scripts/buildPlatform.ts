/**
 * Builds the node as the platform starts it: a bundle, its compiled form, and a small program that loads
 * both, since compiling the bundle takes a large part of a restart on a small VM.
 */
import { mkdirSync, readFileSync, writeFileSync } from 'node:fs';
import Module from 'node:module';
import { Script } from 'node:vm';
import { build } from 'esbuild';

const BUNDLE = 'target/marjoramcleat-platform.bundle.js';
const COMPILED = 'target/marjoramcleat-platform.bundle.bin';
const PROGRAM = 'target/marjoramcleat-platform.cjs';

mkdirSync('target', { recursive: true });
await build({
  entryPoints: ['platform/main.ts'],
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  outfile: BUNDLE,
  logLevel: 'error',
});
await build({
  entryPoints: ['platform/loadBundle.ts'],
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  outfile: PROGRAM,
  logLevel: 'error',
});
const script = new Script(Module.wrap(readFileSync(BUNDLE, 'utf8')), { filename: BUNDLE });
writeFileSync(COMPILED, script.createCachedData());
