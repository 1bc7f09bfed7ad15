/**
 * A request that crashes engines comes again after the processes of all machines were killed at the same moment.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import { sendBooking } from '../lib-2/client.js';
import { runCase, type CaseContext } from '../lib-2/runCase.js';

/** Crashing run of the request. */
interface CrashingRun {
  /** Unix time of the sending in milliseconds. */
  readonly sentAt: number;
  /** Whether the machine that passed it on was in touch. */
  readonly isInTouch: boolean;
}

const CRASHING_BODY = 'slot=14:30&note=crash';
const CONTACT_MILLISECONDS = 3_000;
const CRASHES_BEFORE_BOUND = 3;
const ALLOWED_RETRIES = 3;
/** Time between two attempts of the request. */
const CRASHING_INTERVAL_MILLISECONDS = 4_000;
const SOUND_INTERVAL_MILLISECONDS = 40;
const WORK_MILLISECONDS = 300;
const RESTART_MILLISECONDS = 500;
const OBSERVED_MILLISECONDS = 100_000;
const WAIT_MILLISECONDS = 50;

const runs: CrashingRun[] = [];
/** Unix time of the sending in milliseconds, by attempt. */
const sentAt = new Map<string, number>();
/** Engine by the sound attempt that it ran. */
const soundRuns = new Map<string, string>();
const crashedEngines = new Set<string>();
/** Sound bookings that an engine ran, and that got no success. */
const failed: string[] = [];
/** Unix time of the last start of the machines, in milliseconds. */
let startedAt = 0;

async function killAll({ site, note }: Pick<CaseContext, 'site' | 'note'>): Promise<void> {
  note('the processes of all machines are killed');
  await Promise.all(site.nodes.map(site.kill));
  await sleep(RESTART_MILLISECONDS);
  site.nodes.forEach(site.start);
  startedAt = Date.now();
  note('the processes of all machines start again');
}

/** Resolves when the request has crashed so many engines. */
async function waitForCrashes(count: number): Promise<void> {
  while (runs.length < count) await sleep(WAIT_MILLISECONDS);
}

await runCase({
  folder: import.meta.dirname,
  workMilliseconds: WORK_MILLISECONDS,
  onRun: ({ attempt, body, engine }, { note }) => {
    if (body !== CRASHING_BODY) {
      soundRuns.set(attempt, engine);
      return false;
    }
    crashedEngines.add(engine);
    const at = sentAt.get(attempt) ?? 0;
    const isInTouch = at - startedAt > CONTACT_MILLISECONDS;
    runs.push({ sentAt: at, isInTouch });
    note(
      `${engine} crashes by ${attempt}, crash ${runs.length}${isInTouch ? '' : ', not counted'}`,
    );
    return true;
  },
  play: async ({ site, note, hasTrouble }) => {
    let sent = 0;
    const send = async (kind: string, body?: string): Promise<void> => {
      sent += 1;
      const node = site.nodes[sent % site.nodes.length];
      const attempt = `${kind}-${sent}`;
      if (!node) return;
      sentAt.set(attempt, Date.now());
      const { status, reason } = await sendBooking(node.front, { attempt, body });
      note(`${attempt} at ${node.name} gets ${reason ?? status}`);
      if (body !== CRASHING_BODY && status !== 200) failed.push(attempt);
    };
    startedAt = Date.now() - CONTACT_MILLISECONDS;
    const timers = [
      setInterval(() => void send('sound', `slot=${sent}`), SOUND_INTERVAL_MILLISECONDS),
      setInterval(() => {
        // It comes only at machines in touch, as the others do not count.
        if (Date.now() - startedAt > CONTACT_MILLISECONDS + WAIT_MILLISECONDS)
          void send('crashing', CRASHING_BODY);
      }, CRASHING_INTERVAL_MILLISECONDS),
    ];
    const observedUntil = Date.now() + OBSERVED_MILLISECONDS;
    await waitForCrashes(CRASHES_BEFORE_BOUND);
    const boundAt = Date.now() + CONTACT_MILLISECONDS;
    note(`the request has crashed ${CRASHES_BEFORE_BOUND} engines`);
    await sleep(CONTACT_MILLISECONDS);
    if (hasTrouble) await killAll({ site, note });
    const countRetries = (): number =>
      runs.filter((run) => run.isInTouch && run.sentAt > boundAt).length;
    while (Date.now() < observedUntil && countRetries() <= ALLOWED_RETRIES)
      await sleep(WAIT_MILLISECONDS);
    for (const timer of timers) clearInterval(timer);
    await sleep(1_000);
    const retries = countRetries();
    const lost = failed.filter((attempt) => crashedEngines.has(soundRuns.get(attempt) ?? ''));
    for (const attempt of lost)
      note(
        `${attempt} was run by ${soundRuns.get(attempt) ?? ''}, which crashed, and got no success`,
      );
    return {
      isBroken: retries > ALLOWED_RETRIES,
      text: `${retries} retries of the request reached engines later than ${CONTACT_MILLISECONDS} ms after it had crashed ${CRASHES_BEFORE_BOUND}; ${lost.length} sound bookings were lost with the crashed engines`,
    };
  },
});
