/** Copies text out of what it was cut from. */
import {Buffer} from 'node:buffer';

/** A copy of a text for a record: a slice, as `split` returns it, would keep all of the text that it was cut from in memory. */
export const copyOfText = (text: string): string => Buffer.from(text, 'utf8').toString('utf8');
