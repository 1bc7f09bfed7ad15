/**
 * Processes of the system under lowered limits of memory and descriptors.
 */
import { spawn, spawnSync, type ChildProcess } from 'node:child_process';
import { readdirSync, readFileSync } from 'node:fs';

/** Limits of a process in a test. */
export interface ProcessLimits {
  /** Maximum size of the JavaScript heap, in megabytes. */
  readonly heapMegabytes: number;
  /** Maximum number of open file descriptors. */
  readonly descriptors: number;
}

/** Running process. */
export interface ServerProcess {
  /** Throws with the cause and the first output when the process has ended. */
  readonly assertRunning: () => void;
  /** Returns the largest resident memory since its start, in megabytes. */
  readonly readPeakMegabytes: () => number;
  readonly countDescriptors: () => number;
  readonly end: () => Promise<void>;
}

const KILOBYTES_PER_MEGABYTE = 1_024;
/** How much of a process's output is shown when it ended. */
const SHOWN_OUTPUT_CHARACTERS = 400;

/** Builds the program that the platform starts as a node; throws when the build fails. */
export function buildPlatformProgram(): string {
  const parameters = ['--max-old-space-size=200', '--import', 'tsx', 'scripts/buildPlatform.ts'];
  const { status, stderr } = spawnSync(process.execPath, parameters, { encoding: 'utf8' });
  if (status !== 0) throw new Error(`the platform's program was not built: ${stderr}`);
  return 'target/marjoramcleat-platform.cjs';
}

/** Starts a program with lowered limits. */
export function startServerProcess(
  parameters: readonly string[],
  environment: Readonly<Record<string, string>>,
  { heapMegabytes, descriptors }: ProcessLimits,
): ServerProcess {
  const command = `ulimit -n ${descriptors} && exec "$0" "$@"`;
  const heap = `--max-old-space-size=${heapMegabytes}`;
  const child: ChildProcess = spawn(
    'bash',
    ['-c', command, process.execPath, heap, ...parameters],
    { env: { ...process.env, ...environment }, stdio: ['ignore', 'ignore', 'pipe'] },
  );
  let output = '';
  child.stderr?.on('data', (chunk: Buffer) => {
    output = `${output}${chunk.toString()}`.slice(0, SHOWN_OUTPUT_CHARACTERS);
  });
  const ended = new Promise<void>((resolve) =>
    child.once('exit', () => {
      resolve();
    }),
  );
  const folder = `/proc/${child.pid ?? 0}`;
  const isRunning = (): boolean => child.exitCode === null && child.signalCode === null;
  const assertRunning = (): void => {
    if (isRunning()) return;
    throw new Error(`the process ended (${child.signalCode ?? child.exitCode}): ${output}`);
  };
  return {
    assertRunning,
    readPeakMegabytes: () => {
      assertRunning();
      const peak = /^VmHWM:\s+(\d+) kB$/m.exec(readFileSync(`${folder}/status`, 'utf8'));
      return Number(peak?.[1]) / KILOBYTES_PER_MEGABYTE;
    },
    countDescriptors: () => {
      assertRunning();
      return readdirSync(`${folder}/fd`).length;
    },
    end: async () => {
      if (!isRunning()) return;
      child.kill('SIGKILL');
      await ended;
    },
  };
}
