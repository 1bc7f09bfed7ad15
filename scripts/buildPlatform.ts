/**
 * Builds the node as the platform starts it: a bundle, its compiled form, and a small program that loads
 * both, since compiling the bundle takes a large part of a restart on a small VM.
 */
import { mkdirSync, readFileSync, writeFileSync } from 'node:fs';
import Module, { createRequire } from 'node:module';
import { resolve } from 'node:path';
import { Script } from 'node:vm';
import { build, type BuildOptions } from 'esbuild';
import type { BundleFunction } from '../platform/loadBundle.js';
import { exerciseNodes, type NodeProgram } from './exerciseNodes/index.js';

const BUNDLE = 'target/marjoramcleat-platform.bundle.js';
const COMPILED = 'target/marjoramcleat-platform.bundle.bin';
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

/** Loads the bundle as the program does. */
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
// What has run is compiled, and goes into the compiled form; the rest is compiled when it is needed.
try {
  await exerciseNodes(loadProgram(script));
} catch (error) {
  console.error(`the compiled form holds less than it could: ${String(error)}`);
}
writeFileSync(COMPILED, script.createCachedData());
process.exit(0);
