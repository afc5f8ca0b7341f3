/**
 * Where a stream began. What two software versions write doesn't fit together, so a stream that has
 * begun goes on only at endpoints of the service and the software version that began it.
 */
import {shortDigest} from '../fleet/short-digest.js';

/** Service and software version of the endpoint that wrote a stream's first event. */
export type StreamOrigin = {service: string; software: string};

/**
 * What a daemon can say of a stream: it was told its origin (`began`), streams of the service began at
 * one version only (`sole`), or neither.
 */
export type OriginAnswer = {kind: 'began' | 'sole'; origin: StreamOrigin} | {kind: 'unknown'};

/** Identifies a stream by the caller's attempt that brought its first event; attempts of different workspaces never match. */
export const streamKey = (workspace: string | undefined, attemptId: string): string => shortDigest([workspace ?? null, attemptId]);
