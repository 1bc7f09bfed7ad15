/**
 * Reading and validation of the settings file.
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

/** Error in a settings file. */
export interface SettingsError {
  /** Path of the setting, separated by dots. */
  readonly path: string;
  readonly message: string;
}

/** Secrets of a node. */
export interface Secrets {
  readonly operatorKey: string;
  readonly peerKey: string;
  readonly platformKey: string;
}

/** Validated settings with their secrets. */
export interface LoadedSettings {
  readonly settings: Settings;
  readonly secrets: Secrets;
}

const MINIMUM_SECRET_LENGTH = 16;

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

function checkListener(name: string, listener: ListenerSettings): SettingsError[] {
  const isAllowed = listener.tls !== undefined || listener.allowPlaintextBeyondLoopback;
  if (isAllowed || isLoopback(listener.host)) return [];
  const message =
    `${listener.host} is not a loopback address and no TLS is set: add '${name}.tls', ` +
    `or set '${name}.allowPlaintextBeyondLoopback' to true`;
  return [{ path: `${name}.host`, message }];
}

/**
 * Validates the value of a settings file.
 *
 * Reports all errors at once.
 *
 * @param value - the parsed JSON
 * @returns the settings with defaults filled in, or every error with its path
 * @example
 * checkSettings(JSON.parse(text));
 */
export function checkSettings(value: unknown): Result<Settings, SettingsError[]> {
  const parsed = settingsSchema.safeParse(value);
  if (!parsed.success) {
    return Result.err(
      parsed.error.issues.map(({ path, message }) => ({ path: path.join('.'), message })),
    );
  }
  const { callers, operators, peers } = parsed.data;
  const errors = [
    ...checkListener('callers', callers),
    ...checkListener('operators', operators),
    ...checkListener('peers', peers),
  ];
  return errors.length > 0 ? Result.err(errors) : Result.ok(parsed.data);
}

function readSecret(
  path: string,
  source: SecretSource | undefined,
  folder: string,
  errors: SettingsError[],
): string {
  if (!source) return '';
  const text = readSecretText(source, folder)?.trim();
  if (text === undefined) {
    const location = source.file ?? source.environment ?? '';
    errors.push({ path, message: `the secret cannot be read from '${location}'` });
    return '';
  }
  if (text.length >= MINIMUM_SECRET_LENGTH) return text;
  const message = `the secret is shorter than ${MINIMUM_SECRET_LENGTH.toString()} characters`;
  errors.push({ path, message });
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
 * Paths in the file are relative to its folder.
 *
 * @param file - path of the settings file
 * @returns the settings and secrets, or every error with its path
 * @example
 * readSettings('examples/fit-desk/node-1.json');
 */
export function readSettings(file: string): Result<LoadedSettings, SettingsError[]> {
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
  const errors: SettingsError[] = [];
  const secrets: Secrets = {
    operatorKey: readSecret('operators.key', operators.key, folder, errors),
    peerKey: readSecret('peers.key', peers.key, folder, errors),
    platformKey: readSecret('platform.key', platform.key, folder, errors),
  };
  if (errors.length > 0) return Result.err(errors);
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
