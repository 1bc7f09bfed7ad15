/**
 * Plots the outcomes of requests over a day.
 */
import * as echarts from 'echarts';
import type { CallerOutcome, CallerRecord } from '../createVirtualCallers/index.js';

/** A variant of the decisions with the outcomes of its requests. */
export interface PlottedVariant {
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
const PANEL_HEIGHT = 260;
const MARGIN = 60;

/**
 * Plots requests by the second of their start and by outcome, with one panel for each variant.
 *
 * @param variants - variants to plot, one below the other
 * @param firstAt - virtual time of the first request, in milliseconds
 * @returns the plot as SVG
 * @example
 * writeFileSync('day.svg', plotDay([{ name: 'product', records }], firstAt));
 */
export function plotDay(variants: readonly PlottedVariant[], firstAt: number): string {
  const findSecond = ({ at }: CallerRecord): number => Math.floor((at - firstAt) / 1_000);
  const last = Math.max(0, ...variants.flatMap(({ records }) => records.map(findSecond)));
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
    height: variants.length * PANEL_HEIGHT,
  });
  chart.setOption({
    animation: false,
    legend: { top: 0 },
    title: variants.map(({ name }, index) => ({
      text: name,
      top: index * PANEL_HEIGHT + MARGIN / 2,
      textStyle: { fontSize: 12 },
    })),
    grid: variants.map((_, index) => ({
      top: index * PANEL_HEIGHT + MARGIN,
      height: PANEL_HEIGHT - 2 * MARGIN,
      left: MARGIN,
      right: MARGIN / 2,
    })),
    xAxis: variants.map((_, gridIndex) => ({
      gridIndex,
      type: 'category',
      data: seconds,
      name: 's',
    })),
    yAxis: variants.map((_, gridIndex) => ({ gridIndex, type: 'value', name: 'requests' })),
    series: variants.flatMap(({ records }, index) =>
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
