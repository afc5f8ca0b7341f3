/** What the platform's list says of one running endpoint. */

/** One process of an endpoint. */
export type LiveEndpoint = {
	/** Name of this process; mostly another one after a restart. */
	id: string;
	service: string;
	/** IP:PORT. Used again by other endpoints once this one is gone. */
	address: string;
	dataCentre: string;
	/** Requests that it runs at the same time. */
	slots: number;
	/** Takes no new work: it stops soon. */
	isLeaving: boolean;
	/** Unix milliseconds of its start; tells two processes under one id apart. */
	startedAt: number;
	/** Number of the report that this comes from; starts anew with the process. */
	reportNumber: number;
	/** Weights versions of the models that it runs, by model. */
	weights: ReadonlyMap<string, number>;
};

/** Whether `news` was said after `known` was, by the same process or a later one. */
export function isNewer(news: LiveEndpoint, known: LiveEndpoint): boolean {
	return news.startedAt === known.startedAt
		? news.reportNumber >= known.reportNumber
		: news.startedAt > known.startedAt;
}
