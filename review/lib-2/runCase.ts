/**
 * Runs a case: starts the store, the engines and the machines, plays the case, and ends all that was started.
 */
import { writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import {
  startEngine,
  type EngineRun,
  type EngineStandIn,
  type StartEngineOptions,
} from './engine.js';
import { createBookingConfiguration, startSite, ZONES, type Site } from './site.js';
import { startStore, type StoreStandIn } from './store.js';

/** What a case plays with. */
export interface CaseContext {
  readonly site: Site;
  readonly store: StoreStandIn;
  readonly engines: readonly EngineStandIn[];
  /** Adds a line to the record. */
  readonly note: (text: string) => void;
  /** Whether the disruption happens. */
  readonly hasTrouble: boolean;
  /** Starts an engine of another service, which ends with the case. */
  readonly addEngine: (
    options: Pick<StartEngineOptions, 'host' | 'zone' | 'service' | 'onRun'>,
  ) => Promise<EngineStandIn>;
}

/** Result of a case. */
export interface CaseResult {
  readonly isBroken: boolean;
  readonly text: string;
}

/** Options of {@link runCase}. */
export interface RunCaseOptions {
  /** Folder of the record. */
  readonly folder: string;
  /** Configuration; that of bookings by default. */
  readonly configuration?: Readonly<Record<string, unknown>>;
  readonly workMilliseconds?: number;
  readonly requestsPerSecond?: number;
  readonly turnAway?: (run: EngineRun, context: Pick<CaseContext, 'note'>) => number | undefined;
  /** Called with each request that an engine begins to work on; returns true when the engine crashes by it. */
  readonly onRun: (run: EngineRun, context: Pick<CaseContext, 'note'>) => boolean;
  readonly play: (context: CaseContext) => Promise<CaseResult>;
}

const NODES = 3;
/** Time in which a case has to end. */
const LIMIT_MILLISECONDS = 118_000;
/** Time for the machines to learn of each other and of the engines. */
const SETTLE_MILLISECONDS = 4_000;
/** Time after which an engine that crashed is back. */
const RETURN_MILLISECONDS = 2_500;

const EXIT_HELD = 0;
const EXIT_BROKEN = 1;
const EXIT_NOT_RUN = 2;

/**
 * Runs a case and exits: with 1 where the rule was broken, with 0 where it held, and with 2 where the case could not
 * run.
 */
export async function runCase(options: RunCaseOptions): Promise<never> {
  const { folder, workMilliseconds = 40, requestsPerSecond, turnAway, onRun, play } = options;
  const { configuration = createBookingConfiguration() } = options;
  const hasTrouble = process.env.TROUBLE !== '0';
  const startedAt = Date.now();
  const lines: string[] = [];
  const note = (text: string): void => {
    lines.push(`${((Date.now() - startedAt) / 1_000).toFixed(3)} ${text}`);
  };
  const engines: EngineStandIn[] = [];
  let store: StoreStandIn | undefined;
  let site: Site | undefined;
  const end = async (code: number, text: string): Promise<never> => {
    note(text);
    writeFileSync(join(folder, 'record.txt'), `${lines.join('\n')}\n`);
    await site?.close();
    for (const engine of engines) engine.close();
    store?.close();
    console.log(text);
    process.exit(code);
  };
  setTimeout(() => void end(EXIT_NOT_RUN, 'could not run: out of time'), LIMIT_MILLISECONDS);
  for (const signal of ['SIGTERM', 'SIGINT'] as const)
    process.once(signal, () => void end(EXIT_NOT_RUN, `could not run: ${signal}`));
  note(`begins, ${hasTrouble ? 'with' : 'without'} the disruption`);
  try {
    const startedStore = await startStore();
    store = startedStore;
    const startBookingEngine = async (index: number): Promise<void> => {
      const engine = await startEngine({
        store: startedStore,
        host: `127.0.2.${index + 1}`,
        zone: ZONES[index % ZONES.length] ?? ZONES[0],
        workMilliseconds,
        requestsPerSecond,
        turnAway: (run) => turnAway?.(run, { note }),
        onRun: (run) => {
          note(`${run.engine} runs ${run.attempt}: ${run.method} ${run.url}, body "${run.body}"`);
          const crashes = onRun(run, { note });
          if (crashes) setTimeout(() => void startBookingEngine(index), RETURN_MILLISECONDS);
          return crashes;
        },
      });
      engines.push(engine);
    };
    for (const index of ZONES.keys()) await startBookingEngine(index);
    store.put('op/config', configuration);
    site = await startSite(NODES, store.address);
    if (!(await site.waitForReady()))
      return await end(EXIT_NOT_RUN, 'could not run: a machine is not ready');
    await sleep(SETTLE_MILLISECONDS);
    const addEngine: CaseContext['addEngine'] = async (engineOptions) => {
      const engine = await startEngine({ ...engineOptions, store: startedStore });
      engines.push(engine);
      return engine;
    };
    const context = { site, store, engines, note, hasTrouble, addEngine };
    const { isBroken, text } = await play(context);
    return await end(isBroken ? EXIT_BROKEN : EXIT_HELD, text);
  } catch (error) {
    return end(EXIT_NOT_RUN, `could not run: ${String(error)}`);
  }
}
