/**
 * Builds `dist/marjoramcleat`: one bundle, made into a single executable.
 */
import { execFileSync } from 'node:child_process';
import { chmodSync, copyFileSync, mkdirSync, readFileSync, writeFileSync } from 'node:fs';
import { BUNDLE, buildBundle } from '../bench/buildBundle/index.js';
import { inject } from 'postject';

const CONFIGURATION = 'dist/executable.json';
const BLOB = 'dist/marjoramcleat.blob';
const BINARY = 'dist/marjoramcleat';
const FUSE = 'NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2';

mkdirSync('dist', { recursive: true });
const { version } = JSON.parse(readFileSync('package.json', 'utf8')) as { version: string };
await buildBundle(version);
writeFileSync(
  CONFIGURATION,
  JSON.stringify({ main: BUNDLE, output: BLOB, disableExperimentalSEAWarning: true }),
);
execFileSync(process.execPath, ['--experimental-sea-config', CONFIGURATION], { stdio: 'ignore' });
copyFileSync(process.execPath, BINARY);
chmodSync(BINARY, 0o755);
await inject(BINARY, 'NODE_SEA_BLOB', readFileSync(BLOB), { sentinelFuse: FUSE });
console.log(`built ${BINARY} ${version}`);
