/**
 * Builds the program that the platform starts as a node: a bundle, its V8 code cache, and a small
 * program that loads both. Compiling the bundle without the cache takes a large part of a restart
 * on a small VM.
 */
import { mkdirSync, readFileSync, writeFileSync } from 'node:fs';
import Module, { createRequire } from 'node:module';
import { resolve } from 'node:path';
import { Script } from 'node:vm';
import { build, type BuildOptions } from 'esbuild';
import type { BundleFunction } from '../platform/loadBundle.js';
import { exerciseNodes, type NodeProgram } from './exerciseNodes/index.js';

const BUNDLE = 'target/marjoramcleat-platform.bundle.js';
const CODE_CACHE = 'target/marjoramcleat-platform.bundle.bin';
const PROGRAM = 'target/marjoramcleat-platform.cjs';

const COMMON: BuildOptions = {
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  charset: 'ascii',
  logLevel: 'error',
  minifyWhitespace: true,
  minifySyntax: true,
  define: { 'process.env.NODE_ENV': '"production"' },
};

/** Loads the bundle as the program of `platform/loadBundle.ts` does. */
function loadProgram(script: Script): NodeProgram {
  const bundle = { exports: {} };
  const run = script.runInThisContext() as BundleFunction;
  run(bundle.exports, createRequire(resolve(BUNDLE)), bundle, BUNDLE, resolve('target'));
  return bundle.exports as NodeProgram;
}

mkdirSync('target', { recursive: true });
await build({ ...COMMON, entryPoints: ['platform/main.ts'], outfile: BUNDLE });
await build({ ...COMMON, entryPoints: ['platform/loadBundle.ts'], outfile: PROGRAM });
const script = new Script(Module.wrap(readFileSync(BUNDLE, 'latin1')), { filename: BUNDLE });
// V8 caches the functions that have run; the others are compiled on their first call in a node.
try {
  await exerciseNodes(loadProgram(script));
} catch (error) {
  console.error(`short run of two nodes failed, the code cache is incomplete: ${String(error)}`);
}
writeFileSync(CODE_CACHE, script.createCachedData());
process.exit(0);
