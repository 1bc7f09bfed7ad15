import { playDay } from '/work/main/emulator/playDay/index.js';
import { DECISIONS } from '/work/main/emulator/naive/index.js';
import { readDay, readSite } from '/work/main/emulator/readScenario/index.js';
const [, , dayName, version='product', seed='1', rate='1', siteName='fit-desk'] = process.argv;
const site = readSite(`/work/main/examples/emulator/${siteName}.json`);
const day = { ...readDay(`/work/main/examples/emulator/days/${dayName}.json`), rate: Number(rate) };
const r = await playDay({ site, day, seed: Number(seed), decisions: DECISIONS[version] });
const by = new Map();
for (const x of r.records) {
  const s = Math.floor((x.at - r.firstAt) / 2000) * 2;
  const w = by.get(s) ?? { n: 0, inTime: 0, lateFirst: 0, latePause: 0, refused: 0, failed: 0 };
  w.n += 1;
  if (x.outcome === 'late') { if (x.firstMilliseconds > 500) w.lateFirst += 1; else w.latePause += 1; } else w[x.outcome] += 1;
  by.set(s, w);
}
console.table([...by].sort((a,b)=>a[0]-b[0]).map(([s, w]) => ({ s, ...w })));
console.log(JSON.stringify(r.engineCounts), [...r.engineCounts.refused], r.portCounts, r.gaps);
const ev = new Map(); for (const l of r.lines) ev.set(l.event, (ev.get(l.event)??0)+1); console.log(Object.fromEntries(ev));
if (process.env.LINES) for (const l of r.lines) if (new RegExp(process.env.LINES).test(l.event)) console.log(((l.at - r.firstAt)/1000).toFixed(2), l.node, l.event, JSON.stringify(l.fields));
