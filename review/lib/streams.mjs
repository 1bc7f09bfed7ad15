/* eslint-disable */
/** Streams without a length and without chunks, one of whose engines gets into trouble while they run. */
import { createConfiguration, sendRequest, sleep, waitFor } from './site.mjs';

const EVENTS = 63;
const ENGINES = 4;
const STREAMS = 16;

/** Plays the streams; `makeTrouble` gets the engine that runs most of them, 0.3 s after all have begun. */
export async function playStreams(site, hasTrouble, makeTrouble) {
  const engines = [];
  for (let index = 1; index <= ENGINES; index += 1)
    engines.push(
      await site.startEngine(`i-model${index}`, {
        service: 'fit-assistant',
        pieces: EVENTS,
        gapMilliseconds: 100,
        framed: false,
      }),
    );
  await site.startEngine('i-desk1');
  site.store.put('op/config', createConfiguration());
  const nodes = [await site.startNode('edge-1'), await site.startNode('edge-2')];
  for (const node of nodes) await waitFor(`${node.name} is ready`, node.isReady);
  await sleep(2_000);

  const answers = Array.from({ length: STREAMS }, (_, index) =>
    sendRequest(nodes[index % nodes.length], `/ask/${index}`, {
      method: 'POST',
      attempt: `ask-${index}`,
      body: 'x'.repeat(800),
      headers: { Model: 'm0', 'Token-Counts': '800,252', 'Prompt-Prefix': `aa:40,b${index}:760` },
      deadline: 20_000,
    }),
  );
  const listRuns = () => site.messages.filter(({ kind }) => kind === 'run');
  await waitFor('all streams run', () => listRuns().length >= STREAMS);
  await sleep(300);
  const countRuns = ({ id }) => listRuns().filter((run) => run.id === id).length;
  const [engine] = [...engines].sort((left, right) => countRuns(right) - countRuns(left));
  site.record(`${countRuns(engine)} of ${STREAMS} streams run at ${engine.id}`);
  await makeTrouble(engine);

  let broken = 0;
  let whole = 0;
  for (const { attempt, status, body, isComplete, headers, error } of await Promise.all(answers)) {
    const ids = [...body.matchAll(/^id: (\d+)$/gm)].map(([, id]) => Number(id));
    const isInOrder = ids.every((id, index) => id === index + 1);
    const isWhole = isInOrder && ids.length === EVENTS;
    const looksComplete = status === 200 && isComplete;
    const isBroken = looksComplete && !isWhole;
    if (isBroken) broken += 1;
    if (looksComplete && isWhole) whole += 1;
    const runs = listRuns().filter((run) => run.attempt === attempt);
    site.record(
      `${attempt}: status ${status}, ${isComplete ? 'ended as complete' : `broken off (${error})`}, ` +
        `${ids.length} of ${EVENTS} events, seal ${headers['server-seal'] ?? 'none'}, ` +
        `run at ${runs.map(({ id, after }) => `${id} after ${after}`).join(', ')}${isBroken ? '  BROKEN' : ''}`,
    );
  }
  if (!hasTrouble && whole < STREAMS)
    return { broken: true, text: `only ${whole} of ${STREAMS} streams are whole without trouble` };
  return {
    broken: broken > 0,
    text: `${broken} of ${STREAMS} streams ended as complete before their last event, ${whole} are whole`,
  };
}
