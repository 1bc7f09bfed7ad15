/**
 * Measures the cost of relaying tokens on real nodes by token rate, and the latency that a node
 * adds.
 */
import { readFileSync } from 'node:fs';
import { createEngineRuns } from '../../src/process/runtime/createEngineRuns/index.js';
import type { EngineReport, Stage } from '../../src/types/endpoint/index.js';
import { BUNDLE, buildBundle } from '../buildBundle/index.js';
import { createCaller } from '../createCaller/index.js';
import { fitLine } from '../fitLine/index.js';
import { readLoadSettings, runLoad } from '../runLoad/index.js';
import { spawnSite, type SpawnedSite } from '../spawnSite/index.js';
import { summarizeValues } from '../summarizeValues/index.js';
import { round, type Measurement } from '../types.js';

const SITE = 'fit-desk';
const NODES = 6;
const LOAD_FACTORS = [0.25, 0.5, 1];
const SECONDS = 12;
const DIRECT_RUNS = 40;
const PERCENT_TO_MICROSECONDS = 10_000;

interface EndpointView {
  readonly kind: string;
  readonly name: string;
  readonly report?: EngineReport;
  readonly labels: Readonly<Record<string, string>>;
}

interface Latency {
  readonly first: number;
  readonly gaps: readonly number[];
}

/** Builds a chain from the endpoints that the operator API lists. */
async function buildRoute(site: SpawnedSite): Promise<Stage[]> {
  const endpoints = (await site.callOperatorApi(0, 'GET', '/v1/endpoints')) as EndpointView[];
  const standins = JSON.parse(readFileSync(`examples/${SITE}/standins.json`, 'utf8')) as {
    engines: { prefix: string; firstPort: number }[];
  };
  const findAddress = (name: string): string => {
    const group = standins.engines.find(({ prefix }) => name.startsWith(prefix));
    const number = Number(name.slice((group?.prefix.length ?? 0) + 1)) - 1;
    return `127.0.0.1:${((group?.firstPort ?? 0) + number).toString()}`;
  };
  const route: Stage[] = [];
  for (let layer = 0; layer < 48;) {
    const firstLayer = layer;
    const next = endpoints.find(
      ({ name, report }) => name.includes('large') && report?.from === firstLayer,
    );
    if (!next?.report)
      throw new Error(`no large engine starts at layer ${firstLayer}; cannot build a chain`);
    route.push({
      engine: next.name,
      address: findAddress(next.name),
      from: firstLayer,
      to: next.report.to,
    });
    layer = next.report.to;
  }
  return route;
}

/** Runs a request directly on the engines, without a node. */
function runDirect(route: readonly Stage[], index: number): Promise<Latency> {
  return new Promise((done) => {
    const startedAt = performance.now();
    const times: number[] = [];
    const runs = createEngineRuns((event) => {
      if (event.kind !== 'tokens') return;
      for (const line of event.lines) {
        times.push(performance.now());
        if (line.last !== true) continue;
        const gaps = times.slice(1).map((time, position) => time - (times[position] ?? time));
        runs.close();
        done({ first: (times[0] ?? startedAt) - startedAt, gaps });
      }
    });
    runs.start(route[0]?.address ?? '', {
      attempt: `straight-${index.toString()}`,
      route: [...route],
      model: 'fit-assistant',
      version: '1',
      adapter: '',
      prompt: `straight question ${index.toString()}`,
      startIndex: 0,
      maximumTokens: 24,
      priority: 5,
    });
  });
}

async function measureAddedLatency(site: SpawnedSite, apiKey: string) {
  const route = await buildRoute(site);
  const caller = createCaller({ account: 'riders-app', apiKey, seeds: site.callerAddresses });
  const direct: Latency[] = [];
  const routed: Latency[] = [];
  for (let index = 0; index < DIRECT_RUNS; index += 1) {
    direct.push(await runDirect(route, index));
    const prompt = `straight question ${index.toString()}`;
    const answer = await caller.stream({ model: 'fit-assistant', prompt, maximumTokens: 24 });
    routed.push({ first: answer.firstTokenMilliseconds, gaps: answer.gaps });
  }
  caller.close();
  const summarizeLatencies = (latencies: readonly Latency[]) => ({
    first: summarizeValues(latencies.slice(5).map(({ first }) => first)),
    gaps: summarizeValues(latencies.slice(5).flatMap(({ gaps }) => gaps)),
  });
  return { direct: summarizeLatencies(direct), routed: summarizeLatencies(routed) };
}

/** Measures both on the fit-desk example with six nodes. */
export async function measureRelay(): Promise<Measurement> {
  await buildBundle();
  const keys = JSON.parse(readFileSync(`examples/${SITE}/keys.json`, 'utf8')) as Record<
    string,
    string
  >;
  const base = readLoadSettings(`examples/${SITE}/load.json`);
  const site = await spawnSite({ site: SITE, nodes: NODES, command: [process.execPath, BUNDLE] });
  const added = await measureAddedLatency(site, keys['riders-app'] ?? '');
  const results = [];
  for (const [index, loadFactor] of LOAD_FACTORS.entries()) {
    const accounts = base.accounts.map(({ name, requestsPerSecond }) => ({
      name,
      requestsPerSecond: requestsPerSecond * loadFactor,
    }));
    const settings = {
      ...base,
      accounts,
      seconds: SECONDS,
      seed: 80 + index,
      bookingsPerSecond: 0,
    };
    results.push(await runLoad({ settings, site, keys }));
  }
  await site.close();
  const points = results.map((result) => ({
    size: round(result.tokensPerSecond / NODES, 2),
    cost: result.processorPercentPerNode,
  }));
  const line = fitLine(points);
  return {
    rows: results.map((result, index) => ({
      'requests/s': result.requestsPerSecond,
      'tokens/s a node': points[index]?.size ?? 0,
      'processor % a node': result.processorPercentPerNode,
      wrong: result.wrong + result.cut,
      'first token p95 ms': result.firstToken.p95,
      'between tokens p95 ms': result.betweenTokens.p95,
    })),
    targets: [
      {
        name: 'processor time a token, slope over three rates (request work included)',
        target: 'microseconds',
        measured: `${round(line.slope * PERCENT_TO_MICROSECONDS).toString()} µs, fit error ${round(line.error * 100).toString()}%`,
        isMet: line.slope * PERCENT_TO_MICROSECONDS < 100,
      },
      {
        name: 'first token, p50, through a node against straight (another chain may be chosen)',
        target: 'stated',
        measured: `${added.routed.first.p50.toString()} against ${added.direct.first.p50.toString()} ms`,
        isMet: true,
      },
      {
        name: 'between tokens, p50, through a node against straight',
        target: 'stated',
        measured: `${added.routed.gaps.p50.toString()} against ${added.direct.gaps.p50.toString()} ms`,
        isMet: true,
      },
      {
        name: 'first token p95 at the full example load',
        target: 'within 330 ms',
        measured: `${(results.at(-1)?.firstToken.p95 ?? 0).toString()} ms`,
        isMet: (results.at(-1)?.firstToken.p95 ?? Infinity) <= 330,
      },
      {
        name: 'between tokens p95 at the full example load',
        target: 'within 39 ms',
        measured: `${(results.at(-1)?.betweenTokens.p95 ?? 0).toString()} ms`,
        isMet: (results.at(-1)?.betweenTokens.p95 ?? Infinity) <= 39,
      },
    ],
  };
}
