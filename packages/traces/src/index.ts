/** Public entry of this package. */
export const packageName = '@hickorywalk/traces';
