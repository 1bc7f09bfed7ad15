/**
 * What a node believes of its site: configuration, endpoints, and what is known of other nodes.
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

/** Decoders of what the store holds. */
export interface SiteDecoders {
  readonly decodeConfiguration: (value: unknown) => SiteConfiguration | undefined;
  readonly decodeEndpoint: (id: string, value: unknown) => EndpointRecord | undefined;
}

/** State of a node. */
export interface SiteState {
  readonly endpoints: EndpointTable;
  readonly getCompiled: () => CompiledSiteConfiguration | undefined;
  readonly getVersion: () => number;
  /** The configuration in force as it was received. */
  readonly getText: () => string | undefined;
  /** Takes a configuration; only a higher version comes into force. */
  readonly offerConfiguration: (text: string, source: 'store' | 'peer') => boolean;
  /** Takes the registry's entry for an endpoint; undefined removes it. */
  readonly offerEndpoint: (id: string, text: string | undefined, source: 'store' | 'peer') => void;
  /** Registry entries as they were received. */
  readonly listEntries: () => [string, string][];
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
 * Creates the state of a node that knows nothing yet.
 *
 * What cannot be read is logged and leaves the last good value in force.
 *
 * @param options - decoders, logger and what to call on a new configuration
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
    getText: () => configurationText,
    offerConfiguration: (text, source) => {
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
    offerEndpoint: (id, text, source) => {
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
    listEntries: () => [...entries],
  };
}
