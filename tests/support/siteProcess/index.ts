/**
 * Starts the platform's program in a process of its own, on loopback.
 */
import { spawn, type ChildProcess } from 'node:child_process';
import { writeFileSync } from 'node:fs';
import { join } from 'node:path';

/** Options of {@link writeSettings}. */
export interface WriteSettingsOptions {
  readonly storeAddress: string;
  readonly graceSeconds?: number;
}

/** Ports of the program's listeners. */
export const PROGRAM_PORTS = { front: 18_227, readiness: 18_220, directory: 18_224 };

/** Loopback address of the program: no other test process uses it. */
export const PROGRAM_HOST = `127.77.${(process.pid >> 8) & 0xff}.${process.pid & 0xff}`;

/** Writes a settings file into a folder; returns its path. */
export function writeSettings(folder: string, options: WriteSettingsOptions): string {
  const path = join(folder, 'settings.json');
  const listen = Object.fromEntries(
    Object.entries(PROGRAM_PORTS).map(([name, port]) => [name, `${PROGRAM_HOST}:${port}`]),
  );
  const settings = {
    node_name: 'node-1',
    ip: PROGRAM_HOST,
    zone: 'mission',
    region: 'bc-south',
    internal_ports: [17_340, 17_355],
    listen,
    bounds: { grace_s: options.graceSeconds ?? 1 },
    platform: { address: options.storeAddress },
  };
  writeFileSync(path, JSON.stringify(settings));
  return path;
}

/** Starts the program in a process that executes a statement before the node listens. */
export function startProgram(settingsPath: string, statement: string): ChildProcess {
  const script = `
    import { main } from './platform/main.ts';
    main().catch((error) => { console.error(error); process.exit(9); });
    ${statement};
  `;
  return spawn(process.execPath, ['--import', 'tsx', '--input-type=module', '--eval', script], {
    env: { ...process.env, MARJORAMCLEAT_BOOT: settingsPath },
    stdio: ['ignore', 'pipe', 'inherit'],
  });
}
