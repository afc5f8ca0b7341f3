/**
 * Where a stream began. What two software versions write doesn't fit together, so a stream that has
 * begun goes on only at endpoints of the service and the software version that began it.
 */

/** Service and software version of the endpoint that wrote a stream's first event. */
export type StreamOrigin = {service: string; software: string};
