/**
 * State of the site as a node knows it: configuration and endpoints.
 */
import {
  createEndpointTable,
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
  readonly applyConfiguration: (text: string, source: 'store' | 'peer') => boolean;
  /** Applies the registry's entry for an endpoint; undefined removes the endpoint. */
  readonly applyEndpoint: (id: string, text: string | undefined, source: 'store' | 'peer') => void;
  /** Lists the registry entries as they were received. */
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
 * Creates an empty state.
 *
 * Values that cannot be decoded are logged, and the last valid value stays active.
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
  let compiled: CompiledSiteConfiguration | undefined;
  let configurationText: string | undefined;
  const getVersion = (): number => compiled?.configuration.version ?? 0;
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
      if (text === undefined) {
        entries.delete(id);
        if (endpoints.update(id, undefined, now()))
          logger.log('endpoint-gone', { endpoint: id, source });
        return;
      }
      if (entries.get(id) === text) return;
      entries.set(id, text);
      const record = decoders.decodeEndpoint(id, parse(text));
      if (!record) logger.log('endpoint-unreadable', { endpoint: id, source });
      const before = endpoints.find(id)?.record;
      const isNew = endpoints.update(id, record, now());
      if (!record || (!isNew && before?.isDraining === record.isDraining)) return;
      logger.log(record.isDraining ? 'endpoint-draining' : 'endpoint-ready', {
        endpoint: id,
        source,
        address: record.address,
        bornAt: record.startedAt,
      });
    },
    listRegistryEntries: () => [...entries],
  };
}
