/**
 * Under what name a cached prefix is known. KV cache is only worth something
 * to the workspace that paid for it, on the model, weights version and adapter
 * that computed it; the hashes of a prompt start from this identity, so that
 * prompts of two identities share no hash, however equal their texts.
 *
 * The fifth part of the identity, the engine's process (its incarnation), is
 * not hashed: where a prefix belongs must not change with a crash. What was
 * learned of a process is kept per endpoint and dropped with the process.
 */

/** Everything that must be equal for cached prompt work to be reused. */
export type CacheIdentity = {
	workspace: string;
	model: string;
	/** Weights version. */
	version: string;
	/** Empty for the bare model. */
	adapter: string;
};

/**
 * One text for one identity. JSON quotes every part, so that no two identities
 * run together: `a` + `bc` differs from `ab` + `c`.
 */
export const cacheIdentityText = (identity: CacheIdentity): string =>
	JSON.stringify([identity.workspace, identity.model, identity.version, identity.adapter]);
