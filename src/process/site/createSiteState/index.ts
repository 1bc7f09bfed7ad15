/**
 * State of the site as a node knows it: configuration and endpoints.
 */
import {
  createEndpointTable,
  isLeavingEndpoint,
  type EndpointTable,
} from '../../../connection/createEndpointTable/index.js';
import {
  compileSiteConfiguration,
  type CompiledSiteConfiguration,
} from '../../../version/compileSiteConfiguration/index.js';
import type { EndpointRecord, SiteConfiguration } from '../../../types/site/index.js';
import type { SiteLogger } from '../createSiteLogger/index.js';

/** Decoders of the values in the store. */
export interface SiteDecoders {
  readonly decodeConfiguration: (value: unknown) => SiteConfiguration | undefined;
  readonly decodeEndpoint: (id: string, value: unknown) => EndpointRecord | undefined;
}

/**
 * Where a value comes from: a change of the store, the older copy from which the store was restored, or
 * a peer.
 */
export type ValueSource = 'store' | 'restored' | 'peer';

/** State of the site as one node knows it. */
export interface SiteState {
  readonly endpoints: EndpointTable;
  readonly getCompiled: () => CompiledSiteConfiguration | undefined;
  readonly getVersion: () => number;
  /** Returns the active configuration as it was received. */
  readonly getConfigurationText: () => string | undefined;
  /**
   * Applies a configuration if its version is higher than the active one; returns whether it did.
   */
  readonly applyConfiguration: (text: string, source: ValueSource) => boolean;
  /** Applies the registry's entry for an endpoint; undefined removes the endpoint. */
  readonly applyEndpoint: (id: string, text: string | undefined, source: ValueSource) => void;
  /**
   * Applies the entries of endpoints that an older copy brought back, once they have been held back, and
   * removes endpoints that have not written again after an unreadable entry under their key.
   */
  readonly applyHeldEntries: () => void;
  /** Lists the registry entries as they were received, without those that are outdated or held back. */
  readonly listRegistryEntries: () => [string, string][];
}

/** Options of {@link createSiteState}. */
export interface CreateSiteStateOptions {
  readonly decoders: SiteDecoders;
  readonly logger: SiteLogger;
  readonly now: () => number;
  readonly parse: (text: string) => unknown;
  readonly onConfiguration: (compiled: CompiledSiteConfiguration) => void;
}

/**
 * How long the entry of a removed endpoint is held back when an older copy of the store brings it back:
 * three heartbeats and more, after which the entries of endpoints that have ended lapse.
 */
const HOLD_MILLISECONDS = 6_000;
/**
 * How long an endpoint is kept whose entry was replaced by an unreadable one: three heartbeats and more,
 * in which an endpoint that has not ended writes its own again.
 */
const REPLACED_MILLISECONDS = 6_000;
/** Length of an entry, in characters, far above that of any endpoint; longer ones are not parsed. */
const MAXIMUM_ENTRY_LENGTH = 16_384;
/** How long removed endpoints are remembered; older copies of the store are younger than that. */
const REMOVED_MEMORY_MILLISECONDS = 600_000;

/** Endpoint that was removed from the registry. */
interface RemovedEndpoint {
  readonly startedAt: number;
  /** Whether it was draining or announced that it leaves. */
  readonly wasLeaving: boolean;
  /** Time of the removal in milliseconds. */
  readonly at: number;
}

/** Entry with its record. */
interface AppliedEntry {
  readonly text: string;
  readonly record: EndpointRecord;
  readonly source: ValueSource;
}

/** Entry that cannot be decoded, until the endpoint of its key writes its own again. */
interface UnreadableEntry {
  readonly text: string;
  readonly source: ValueSource;
  /** Time in milliseconds at which an endpoint that did not write again has ended. */
  readonly dueAt: number;
}

/** Entry that is held back until a time in milliseconds. */
interface HeldEntry {
  readonly text: string;
  readonly dueAt: number;
}

/**
 * Creates an empty state.
 *
 * Values that cannot be decoded are logged, and the last valid value stays active; an endpoint that does
 * not write its entry again after that counts as removed. A store that is
 * restored from an older copy does not undo what was confirmed: lower versions, earlier starts and the
 * end of a drain are ignored, and an endpoint that was removed is used again only when it is written
 * again or its entry does not lapse.
 *
 * @param options - decoders, logger and the callback for a new configuration
 * @returns the state
 * @example
 * createSiteState({ decoders, logger, now, parse: parseJson, onConfiguration }).getVersion(); // 0
 */
export function createSiteState(options: CreateSiteStateOptions): SiteState {
  const { decoders, logger, now, parse, onConfiguration } = options;
  const endpoints = createEndpointTable();
  const entries = new Map<string, string>();
  const removed = new Map<string, RemovedEndpoint>();
  const held = new Map<string, HeldEntry>();
  const unreadable = new Map<string, UnreadableEntry>();
  let compiled: CompiledSiteConfiguration | undefined;
  let configurationText: string | undefined;
  const getVersion = (): number => compiled?.configuration.version ?? 0;
  const removeEndpoint = (id: string, source: ValueSource): void => {
    held.delete(id);
    entries.delete(id);
    unreadable.delete(id);
    const known = endpoints.find(id);
    if (!known) return;
    removed.set(id, {
      startedAt: known.record.startedAt,
      wasLeaving: isLeavingEndpoint(known),
      at: now(),
    });
    endpoints.update(id, undefined, now());
    logger.log('endpoint-gone', { endpoint: id, source });
  };
  const applyRecord = (id: string, { text, record, source }: AppliedEntry): void => {
    entries.set(id, text);
    unreadable.delete(id);
    removed.delete(id);
    const before = endpoints.find(id)?.record;
    const isNew = endpoints.update(id, record, now());
    if (!isNew && before?.isDraining === record.isDraining) return;
    logger.log(record.isDraining ? 'endpoint-draining' : 'endpoint-ready', {
      endpoint: id,
      source,
      address: record.address,
      bornAt: record.startedAt,
    });
  };
  /** Keeps the endpoint of the key for a time: it has not written this. */
  const recordUnreadable = (id: string, text: string, source: ValueSource): void => {
    const dueAt = unreadable.get(id)?.dueAt ?? now() + REPLACED_MILLISECONDS;
    unreadable.set(id, { text, dueAt, source });
    logger.log('endpoint-unreadable', { endpoint: id, source });
  };
  const applyEntry = (id: string, text: string, source: ValueSource): void => {
    if (unreadable.get(id)?.text === text) return;
    if (entries.get(id) === text) {
      unreadable.delete(id);
      return;
    }
    const record =
      text.length > MAXIMUM_ENTRY_LENGTH ? undefined : decoders.decodeEndpoint(id, parse(text));
    if (!record) {
      recordUnreadable(id, text, source);
      return;
    }
    held.delete(id);
    const details = { endpoint: id, source, bornAt: record.startedAt };
    if (endpoints.isOutdated(id, record)) {
      logger.log('endpoint-entry-outdated', details);
      return;
    }
    const known = removed.get(id);
    const isRemovedRun = known && record.startedAt <= known.startedAt;
    if (source === 'peer' && isRemovedRun && known.wasLeaving) {
      logger.log('endpoint-entry-outdated', details);
      return;
    }
    if (source === 'restored' && isRemovedRun) {
      held.set(id, { text, dueAt: now() + HOLD_MILLISECONDS });
      logger.log('endpoint-entry-held', details);
      return;
    }
    applyRecord(id, { text, record, source });
  };
  return {
    endpoints,
    getCompiled: () => compiled,
    getVersion,
    getConfigurationText: () => configurationText,
    applyConfiguration: (text, source) => {
      if (text === configurationText) return false;
      const configuration = decoders.decodeConfiguration(parse(text));
      if (!configuration) {
        logger.log('configuration-unreadable', { source, bytes: text.length });
        return false;
      }
      if (compiled && configuration.version <= getVersion()) return false;
      compiled = compileSiteConfiguration(configuration);
      configurationText = text;
      logger.log('configuration-applied', {
        source,
        version: configuration.version,
        routes: configuration.routes.length,
      });
      onConfiguration(compiled);
      return true;
    },
    applyEndpoint: (id, text, source) => {
      if (text === undefined) removeEndpoint(id, source);
      else applyEntry(id, text, source);
    },
    applyHeldEntries: () => {
      for (const [id, { text, dueAt }] of held) {
        if (dueAt > now()) continue;
        held.delete(id);
        if (removed.get(id)?.wasLeaving) continue;
        removed.delete(id);
        applyEntry(id, text, 'restored');
      }
      for (const [id, { dueAt, source }] of unreadable)
        if (dueAt <= now() && endpoints.find(id)) removeEndpoint(id, source);
      for (const [id, { at }] of removed)
        if (now() - at > REMOVED_MEMORY_MILLISECONDS) removed.delete(id);
    },
    listRegistryEntries: () => [...entries],
  };
}
