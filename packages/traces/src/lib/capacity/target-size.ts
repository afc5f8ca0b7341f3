/** The size that the users expect within two years, and what it means for one daemon. */
export const targetSize = {
	daemons: 650,
	replicas: 12_000,
	requestsPerSecond: 51_000,
	tokensPerSecond: 11_000_000,
	cachedBlocks: 1.4e9,
	cacheEventsPerSecond: 6.8e6,
	workspaces: 1200,
	models: 10,
	dataCentres: 23,
	regions: 6,
	configurationChangesPerDay: 13_000,
	vmChangesPerDay: 77 + 670,
} as const;

const secondsPerDay = 86_400;

/** What one daemon meets when load is spread evenly. */
export const perDaemon = {
	requestsPerSecond: targetSize.requestsPerSecond / targetSize.daemons,
	tokensPerSecond: targetSize.tokensPerSecond / targetSize.daemons,
	configurationChangesPerSecond: targetSize.configurationChangesPerDay / secondsPerDay,
	daemonsOfDataCentre: targetSize.daemons / targetSize.dataCentres,
} as const;

/** What control may cost one daemon. */
export const controlBudget = {coreShare: 0.048, megabytes: 64, bytesPerSecond: 24_000} as const;
