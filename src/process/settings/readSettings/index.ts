/**
 * Reading and checking of the settings file.
 */
import { readFileSync } from 'node:fs';
import { dirname, resolve } from 'node:path';
import { Result } from 'true-myth';
import {
  settingsSchema,
  type ListenerSettings,
  type SecretSource,
  type Settings,
} from '../settingsSchema/index.js';

/** One fault of a settings file. */
export interface SettingsFault {
  /** Path of the setting, by dots. */
  readonly path: string;
  readonly message: string;
}

/** Secrets of a node. */
export interface Secrets {
  readonly operatorKey: string;
  readonly peerKey: string;
  readonly platformKey: string;
}

/** Settings that have been checked, with their secrets read. */
export interface LoadedSettings {
  readonly settings: Settings;
  readonly secrets: Secrets;
}

const SHORTEST_SECRET_CHARACTERS = 16;

function parseJson(text: string): Result<unknown, string> {
  try {
    return Result.ok(JSON.parse(text));
  } catch (error) {
    return Result.err(error instanceof Error ? error.message : 'invalid JSON');
  }
}

function isLoopback(host: string): boolean {
  return host === 'localhost' || host === '::1' || host.startsWith('127.');
}

function checkListener(name: string, listener: ListenerSettings): SettingsFault[] {
  const isGuarded = listener.tls !== undefined || listener.allowPlaintextBeyondLoopback;
  if (isGuarded || isLoopback(listener.host)) return [];
  const message =
    `${listener.host} is not a loopback address and no TLS is set: add '${name}.tls', ` +
    `or set '${name}.allowPlaintextBeyondLoopback' to true`;
  return [{ path: `${name}.host`, message }];
}

/**
 * Checks the value of a settings file.
 *
 * All faults are found at once.
 *
 * @param value - the parsed JSON
 * @returns the settings with defaults filled in, or every fault with its path
 * @example
 * checkSettings(JSON.parse(text));
 */
export function checkSettings(value: unknown): Result<Settings, SettingsFault[]> {
  const parsed = settingsSchema.safeParse(value);
  if (!parsed.success) {
    return Result.err(
      parsed.error.issues.map(({ path, message }) => ({ path: path.join('.'), message })),
    );
  }
  const { callers, operators, peers } = parsed.data;
  const faults = [
    ...checkListener('callers', callers),
    ...checkListener('operators', operators),
    ...checkListener('peers', peers),
  ];
  return faults.length > 0 ? Result.err(faults) : Result.ok(parsed.data);
}

function readSecret(
  path: string,
  source: SecretSource | undefined,
  folder: string,
  faults: SettingsFault[],
): string {
  if (!source) return '';
  const text = readSecretText(source, folder)?.trim();
  if (text === undefined) {
    const where = source.file ?? source.environment ?? '';
    faults.push({ path, message: `the secret cannot be read from '${where}'` });
    return '';
  }
  if (text.length >= SHORTEST_SECRET_CHARACTERS) return text;
  const message = `the secret is shorter than ${SHORTEST_SECRET_CHARACTERS.toString()} characters`;
  faults.push({ path, message });
  return text;
}

function readSecretText(source: SecretSource, folder: string): string | undefined {
  if (source.environment !== undefined) return process.env[source.environment];
  try {
    return readFileSync(resolve(folder, source.file ?? ''), 'utf8');
  } catch {
    return undefined;
  }
}

/**
 * Reads a settings file with its secrets.
 *
 * Files named in it are relative to its folder.
 *
 * @param file - path of the settings file
 * @returns the settings and secrets, or every fault with its path
 * @example
 * readSettings('examples/fit-desk/node-1.json');
 */
export function readSettings(file: string): Result<LoadedSettings, SettingsFault[]> {
  let text: string;
  try {
    text = readFileSync(file, 'utf8');
  } catch {
    return Result.err([{ path: '', message: `the file '${file}' cannot be read` }]);
  }
  const json = parseJson(text);
  if (json.isErr) return Result.err([{ path: '', message: json.error }]);
  const settings = checkSettings(json.value);
  if (settings.isErr) return Result.err(settings.error);
  const folder = dirname(resolve(file));
  const { operators, peers, platform } = settings.value;
  const faults: SettingsFault[] = [];
  const secrets: Secrets = {
    operatorKey: readSecret('operators.key', operators.key, folder, faults),
    peerKey: readSecret('peers.key', peers.key, folder, faults),
    platformKey: readSecret('platform.key', platform.key, folder, faults),
  };
  if (faults.length > 0) return Result.err(faults);
  return Result.ok({ settings: resolveFiles(settings.value, folder), secrets });
}

function resolveTls<Listener extends ListenerSettings>(
  listener: Listener,
  folder: string,
): Listener {
  if (!listener.tls) return listener;
  const { certificateFile, keyFile, authorityFile } = listener.tls;
  return {
    ...listener,
    tls: {
      certificateFile: resolve(folder, certificateFile),
      keyFile: resolve(folder, keyFile),
      ...(authorityFile !== undefined && { authorityFile: resolve(folder, authorityFile) }),
    },
  };
}

function resolveFiles(settings: Settings, folder: string): Settings {
  return {
    ...settings,
    callers: resolveTls(settings.callers, folder),
    operators: resolveTls(settings.operators, folder),
    peers: resolveTls(settings.peers, folder),
  };
}
