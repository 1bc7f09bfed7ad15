/**
 * Plot of what callers got over a day.
 */
import * as echarts from 'echarts';
import type { CallerOutcome, CallerRecord } from '../createVirtualCallers/index.js';

/** One version of the decisions, with what its callers got. */
export interface PlottedVersion {
  readonly name: string;
  readonly records: readonly CallerRecord[];
}

const OUTCOMES: readonly { readonly outcome: CallerOutcome; readonly color: string }[] = [
  { outcome: 'inTime', color: '#4c9f70' },
  { outcome: 'late', color: '#e0b34a' },
  { outcome: 'refused', color: '#7d8da6' },
  { outcome: 'failed', color: '#c0504d' },
];
const WIDTH = 900;
const HEIGHT_OF_VERSION = 260;
const MARGIN = 60;

/**
 * Plots requests by second of their arrival and by outcome, one panel a version.
 *
 * @param versions - versions to plot side by side
 * @param firstAt - virtual time of the first request, in milliseconds
 * @returns the plot as SVG
 * @example
 * writeFileSync('day.svg', plotDay([{ name: 'product', records }], firstAt));
 */
export function plotDay(versions: readonly PlottedVersion[], firstAt: number): string {
  const findSecond = ({ at }: CallerRecord): number => Math.floor((at - firstAt) / 1_000);
  const last = Math.max(0, ...versions.flatMap(({ records }) => records.map(findSecond)));
  const seconds = Array.from({ length: last + 1 }, (_, second) => second);
  const countBy = (records: readonly CallerRecord[], outcome: CallerOutcome): number[] => {
    const counts = seconds.map(() => 0);
    for (const record of records) {
      const second = findSecond(record);
      if (record.outcome === outcome) counts[second] = (counts[second] ?? 0) + 1;
    }
    return counts;
  };
  const chart = echarts.init(null, null, {
    renderer: 'svg',
    ssr: true,
    width: WIDTH,
    height: versions.length * HEIGHT_OF_VERSION,
  });
  chart.setOption({
    animation: false,
    legend: { top: 0 },
    title: versions.map(({ name }, index) => ({
      text: name,
      top: index * HEIGHT_OF_VERSION + MARGIN / 2,
      textStyle: { fontSize: 12 },
    })),
    grid: versions.map((_, index) => ({
      top: index * HEIGHT_OF_VERSION + MARGIN,
      height: HEIGHT_OF_VERSION - 2 * MARGIN,
      left: MARGIN,
      right: MARGIN / 2,
    })),
    xAxis: versions.map((_, gridIndex) => ({
      gridIndex,
      type: 'category',
      data: seconds,
      name: 's',
    })),
    yAxis: versions.map((_, gridIndex) => ({ gridIndex, type: 'value', name: 'requests' })),
    series: versions.flatMap(({ records }, index) =>
      OUTCOMES.map(({ outcome, color }) => ({
        name: outcome,
        type: 'bar',
        stack: `version ${index}`,
        xAxisIndex: index,
        yAxisIndex: index,
        itemStyle: { color },
        data: countBy(records, outcome),
      })),
    ),
  });
  const svg = chart.renderToSVGString();
  chart.dispose();
  return svg;
}
