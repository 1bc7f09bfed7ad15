/** Types for the part of `postject` that the build uses; the package includes none. */
declare module 'postject' {
  export function inject(
    file: string,
    resource: string,
    data: Buffer,
    options: { readonly sentinelFuse: string },
  ): Promise<void>;
}
