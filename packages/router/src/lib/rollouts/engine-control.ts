/** The interface between rollouts and engines. */

/** Weights status of an engine. */
export type EngineWeights = {
	/** Loaded version; while another one is loading, the version before it. */
	version: string;
	/** Whether the engine is loading weights and takes no requests. */
	loading: boolean;
};

/** An idempotent order to load weights. */
export type LoadOrder = {
	/** Fencing number of the lease under which the order is sent. */
	fencing: number;
	model: string;
	version: string;
};

/** Reads the weights status of engines and sends them orders, by address. Both methods reject when there is no answer. */
export type EngineControl = {
	weights: (address: string) => Promise<EngineWeights>;
	order: (address: string, order: LoadOrder) => Promise<void>;
};
