/** How rollouts speak to engines. */

/** What an engine says of its weights. */
export type EngineWeights = {
	/** Version that is loaded, or that was before a load under way. */
	version: string;
	/** Whether it loads weights now and takes no requests. */
	loading: boolean;
};

/** An order to load weights. Obeying it twice does what obeying it once does. */
export type LoadOrder = {
	/** Fencing number of the lease under which it was given. */
	fencing: number;
	model: string;
	version: string;
};

/** Asks and orders engines by their address. Both reject when no answer came. */
export type EngineControl = {
	weights: (address: string) => Promise<EngineWeights>;
	order: (address: string, order: LoadOrder) => Promise<void>;
};
