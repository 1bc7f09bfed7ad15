/**
 * Values that another writer may leave among the registry entries of endpoints.
 */

/** Value of an entry: text or bytes as they are in the store. */
export interface OddEntry {
  readonly name: string;
  readonly value: string | Buffer;
}

const DEPTH = 100_000;
const LONG_LIST = 40_000;
const LONG_TEXT = 1_000_000;

/** JSON text of a field whose value is not what the field means. */
const ODD_FIELDS: Readonly<Record<string, readonly string[]>> = {
  address: [
    ...['0', '65536', '99999', '12345678', '-1', '08080', ''].map((port) => `"127.0.0.1:${port}"`),
    ...['127.0.0.256', '999.0.0.1', '0127.0.0.1', '127.00.0.1', '0.0.0.0', '255.255.255.255'].map(
      (host) => `"${host}:8080"`,
    ),
    '"localhost:80"',
    '""',
    '"127.0.0.1:80\\r\\nX: 1"',
    '7',
    'null',
    '{}',
  ],
  slots: ['-5', '0', '0.5', '1e308', '1e400', '"8"', '"NaN"', 'null', '[]'],
  born: ['0.5', '-1', '1e300', '1e400', '9007199254740993', '9000000000000000', '"1"', 'null'],
  layers: [
    '{"from":-1,"to":4}',
    '{"from":0.5,"to":4}',
    '{"from":4,"to":0}',
    '{"from":0,"to":1000000000000000}',
    '{"from":0,"to":1e308}',
    '{"from":0,"to":1e400}',
    '{"from":"0","to":"4"}',
    '{"from":0}',
    '7',
    `[${'{"from":0,"to":1},'.repeat(LONG_LIST)}{"from":0,"to":1}]`,
    '['.repeat(DEPTH) + ']'.repeat(DEPTH),
    '{"from":'.repeat(DEPTH) + '0' + '}'.repeat(DEPTH),
  ],
  service: ['7', 'null', '""', `"${'x'.repeat(LONG_TEXT)}"`, '['.repeat(DEPTH) + ']'.repeat(DEPTH)],
  zone: ['7', 'null', '""', '"a\\nb"'],
  state: ['"asleep"', '"READY"', '1', 'null', '""'],
};

/** Values that are no entry at all. */
const ODD_VALUES: Readonly<Record<string, string | Buffer>> = {
  'a deep array': '['.repeat(DEPTH) + ']'.repeat(DEPTH),
  'a deep object': '{"a":'.repeat(DEPTH) + '1' + '}'.repeat(DEPTH),
  'an unclosed deep array': '['.repeat(DEPTH),
  'an empty text': '',
  null: 'null',
  'an array': '[]',
  'an empty object': '{}',
  'a number that is too large': '1e400',
  'a prototype': '{"__proto__":{"service":"booking"}}',
  'control characters': '\u0000\u0001',
  'invalid UTF-8': Buffer.from([0x7b, 0xff, 0xfe, 0x80, 0x7d]),
  'a megabyte of text': `"${'x'.repeat(LONG_TEXT)}"`,
};

function describeField(field: string, text: string): string {
  const shown = text.length > 40 ? `${text.slice(0, 20)}… of ${text.length} characters` : text;
  return `${field} ${shown}`;
}

/**
 * Lists odd entries: each is that of a sound endpoint but for one field, or no entry at all.
 *
 * @param sound - fields of the sound entry
 * @returns the entries, each with what is odd about it
 * @example
 * listOddEntries({ service: 'booking', address: '127.0.0.1:80', state: 'ready' });
 */
export function listOddEntries(sound: Readonly<Record<string, unknown>>): OddEntry[] {
  const write = (fields: Readonly<Record<string, string>>): string =>
    `{${Object.entries(fields)
      .map(([name, text]) => `${JSON.stringify(name)}:${text}`)
      .join(',')}}`;
  const texts = Object.fromEntries(
    Object.entries(sound).map(([name, value]) => [name, JSON.stringify(value)]),
  );
  const odd = Object.entries(ODD_FIELDS).flatMap(([field, values]) =>
    values.map((text) => ({
      name: describeField(field, text),
      value: write({ ...texts, [field]: text }),
    })),
  );
  const missing = ['service', 'address', 'zone', 'state', 'slots'].map((field) => ({
    name: `no ${field}`,
    value: write(Object.fromEntries(Object.entries(texts).filter(([name]) => name !== field))),
  }));
  const values = Object.entries(ODD_VALUES).map(([name, value]) => ({ name, value }));
  return [...odd, ...missing, ...values];
}
