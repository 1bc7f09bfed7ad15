/** Types for the part of `js-csp` that the project uses; the package includes none. */
declare module 'js-csp' {
  interface Instruction<Value> {
    readonly value?: Value;
  }
  interface Channel<Value> {
    close(): void;
    isClosed(): boolean;
    readonly carried?: Value;
  }
  interface Csp {
    readonly CLOSED: null;
    chan<Value>(buffer?: unknown): Channel<Value>;
    go<Result>(
      routine: (...parameters: never[]) => Generator<unknown, Result, never>,
      parameters?: readonly unknown[],
    ): Channel<Result>;
    take<Value>(channel: Channel<Value>): Instruction<Value>;
    put<Value>(channel: Channel<Value>, value: Value): Instruction<boolean>;
    offer<Value>(channel: Channel<Value>, value: Value): boolean;
    putAsync<Value>(
      channel: Channel<Value>,
      value: Value,
      callback?: (accepted: boolean) => void,
    ): void;
    takeAsync<Value>(channel: Channel<Value>, callback: (value: Value | null) => void): void;
    timeout(milliseconds: number): Channel<never>;
    readonly buffers: { fixed(size: number): unknown };
  }
  const csp: Csp;
  export default csp;
  export type { Channel };
}
