/**
 * Guards against a process that holds more for its callers than its budget, bytes that are never released, and
 * ordinary requests that are refused or closed although their share is free.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { createMemoryAccount, HELD_KINDS, type HeldKind, type MemoryHolder } from './index.js';

const SHARES = {
  totalBytes: 1_000,
  connectionBytes: 400,
  accountBytes: 600,
  stallMilliseconds: 50,
};
const CONNECTIONS = 8;
const ACCOUNTS = ['first', 'second'] as const;

/** One connection as a naive list keeps it. */
interface NaiveConnection {
  readonly held: { readonly kind: HeldKind; readonly bytes: number }[];
  readonly holder: MemoryHolder;
  account: string | undefined;
  progressedAt: number;
  running: number;
  isOpen: boolean;
}

function sumHeld(connections: readonly NaiveConnection[]): number {
  return connections
    .filter(({ isOpen }) => isOpen)
    .reduce((sum, { held }) => sum + held.reduce((part, { bytes }) => part + bytes, 0), 0);
}

function hasKind({ held }: NaiveConnection, wanted: HeldKind): boolean {
  return held.some(({ kind, bytes }) => kind === wanted && bytes > 0);
}

function isEvictable(connection: NaiveConnection, time: number): boolean {
  if (!connection.isOpen || time - connection.progressedAt < SHARES.stallMilliseconds) return false;
  if (hasKind(connection, 'response')) return true;
  return hasKind(connection, 'body') && connection.running === 0;
}

const index = fc.nat({ max: CONNECTIONS - 1 });
const steps = fc.array(
  fc.oneof(
    fc.record({
      kind: fc.constant('hold' as const),
      index,
      held: fc.constantFrom(...HELD_KINDS),
      bytes: fc.integer({ min: 1, max: 450 }),
    }),
    fc.record({ kind: fc.constant('release' as const), index }),
    fc.record({
      kind: fc.constant('assign' as const),
      index,
      account: fc.constantFrom(...ACCOUNTS),
    }),
    fc.record({ kind: fc.constant('progress' as const), index }),
    fc.record({ kind: fc.constant('run' as const), index, running: fc.nat({ max: 2 }) }),
    fc.record({ kind: fc.constant('close' as const), index }),
    fc.record({ kind: fc.constant('pass' as const), milliseconds: fc.nat({ max: 80 }) }),
  ),
  { maxLength: 120 },
);

type Step = typeof steps extends fc.Arbitrary<readonly (infer Value)[]> ? Value : never;

/** Plays steps on an account and on a naive list beside it, and compares them after each step. */
function play(list: readonly Step[]): void {
  let time = 0;
  const account = createMemoryAccount({ ...SHARES, now: () => time });
  const all: NaiveConnection[] = [];
  const open = (): NaiveConnection => {
    const connection: NaiveConnection = {
      held: [],
      holder: account.openHolder(() => {
        assert.ok(isEvictable(connection, time), 'a useful connection was closed');
        connection.isOpen = false;
      }),
      account: undefined,
      progressedAt: time,
      running: 0,
      isOpen: true,
    };
    all.push(connection);
    return connection;
  };
  const current = Array.from({ length: CONNECTIONS }, open);
  const listAccount = (name: string | undefined): NaiveConnection[] =>
    all.filter((other) => name !== undefined && other.account === name);
  const findConnection = (place: number): NaiveConnection => {
    const found = current[place];
    if (found?.isOpen) return found;
    return (current[place] = open());
  };
  const handlers = {
    hold: (connection: NaiveConnection, held: HeldKind, bytes: number): void => {
      const others = all.filter((other) => other !== connection && isEvictable(other, time));
      const ownAccount = listAccount(connection.account);
      const least = {
        connection: sumHeld([connection]) + bytes,
        account: sumHeld(ownAccount.filter((other) => !others.includes(other))) + bytes,
        total: sumHeld(all.filter((other) => !others.includes(other))) + bytes,
      };
      const fits =
        least.connection <= SHARES.connectionBytes &&
        least.total <= SHARES.totalBytes &&
        (connection.account === undefined || least.account <= SHARES.accountBytes);
      const openBefore = all.filter(({ isOpen }) => isOpen).length;
      const refused = connection.holder.hold(held, bytes);
      const openAfter = all.filter(({ isOpen }) => isOpen).length;
      if (refused !== undefined) assert.equal(openAfter, openBefore, 'closed for a refusal');
      assert.equal(refused === undefined, fits, `${refused} ${JSON.stringify(least)}`);
      if (refused === undefined) connection.held.push({ kind: held, bytes });
    },
  };
  for (const step of list) {
    if (step.kind === 'pass') {
      time += step.milliseconds;
      continue;
    }
    const connection = findConnection(step.index);
    if (step.kind === 'hold') handlers.hold(connection, step.held, step.bytes);
    else if (step.kind === 'release') {
      const last = connection.held.pop();
      if (last) connection.holder.release(last.kind, last.bytes);
    } else if (step.kind === 'assign') {
      if (connection.holder.assignAccount(step.account)) connection.account = step.account;
    } else if (step.kind === 'progress') {
      connection.holder.recordProgress();
      connection.progressedAt = time;
    } else if (step.kind === 'run') {
      connection.holder.setRunning(step.running);
      connection.running = step.running;
    } else {
      connection.holder.close();
      connection.isOpen = false;
    }
    assert.equal(account.countHeld(), sumHeld(all));
    assert.ok(account.countHeld() <= SHARES.totalBytes);
    for (const name of ACCOUNTS) assert.ok(sumHeld(listAccount(name)) <= SHARES.accountBytes);
    for (const one of all) assert.ok(one.holder.countHeld() <= SHARES.connectionBytes);
  }
  for (const { holder } of all) holder.close();
  assert.equal(account.countHeld(), 0);
  assert.equal(account.countAccounts(), 0);
  for (const kind of HELD_KINDS) assert.equal(account.countHeld(kind), 0);
}

test('never exceeds a share, loses no bytes, and admits whatever its shares have room for', () => {
  fc.assert(fc.property(steps, play), { seed: 31, numRuns: 2_000 });
});

test('closes the connection without progress that holds the most, and no other', () => {
  let time = 0;
  const closed: string[] = [];
  const account = createMemoryAccount({ ...SHARES, now: () => time });
  const openNamed = (name: string): MemoryHolder =>
    account.openHolder((kind) => closed.push(`${name} ${kind}`));
  openNamed('small').hold('body', 100);
  openNamed('large').hold('body', 300);
  openNamed('idle').hold('request', 300);
  const running = openNamed('running');
  running.hold('body', 300);
  running.setRunning(1);
  time = 60;
  assert.equal(openNamed('new').hold('body', 200), undefined);
  assert.deepEqual(closed, ['large body']);
});

test('closes nothing when that would not make enough room', () => {
  let time = 0;
  const closed: string[] = [];
  const account = createMemoryAccount({ ...SHARES, now: () => time });
  account.openHolder(() => closed.push('body')).hold('body', 100);
  for (let count = 0; count < 3; count += 1)
    account.openHolder(() => closed.push('request')).hold('request', 300);
  time = 60;
  assert.equal(account.openHolder(() => undefined).hold('body', 200), 'total');
  assert.deepEqual(closed, []);
});

test('releases nothing twice, and holds nothing after the end', () => {
  const account = createMemoryAccount({ ...SHARES, now: () => 0 });
  const holder = account.openHolder(() => undefined);
  holder.hold('body', 100);
  holder.release('body', 300);
  assert.equal(account.countHeld(), 0);
  holder.hold('body', 100);
  holder.close();
  holder.close();
  holder.release('body', 100);
  assert.equal(holder.hold('body', 1), 'connection');
  assert.equal(account.countHeld(), 0);
});
