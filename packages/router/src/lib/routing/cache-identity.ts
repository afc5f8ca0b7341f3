/**
 * Identity under which a prefix is cached. KV cache may be reused only by the
 * workspace that it was computed for, on the same model, weights version and
 * adapter. The hash chain of a prompt starts from this identity, so that prompts
 * of two identities share no hash, even when their texts are equal.
 *
 * The engine's process (its incarnation) also decides what is cached but is not
 * hashed: the home of a prefix must not change with a crash. What was learned of
 * a process is kept per endpoint and dropped with the process.
 */

/** Everything that must be equal for cached KV blocks to be reused. */
export type CacheIdentity = {
	workspace: string;
	model: string;
	/** Weights version. */
	version: string;
	/** Empty for the base model. */
	adapter: string;
};

/**
 * Serialises an identity. JSON quotes every field, so that two identities never
 * give the same text: `a` + `bc` differs from `ab` + `c`.
 */
export const cacheIdentityText = (identity: CacheIdentity): string =>
	JSON.stringify([identity.workspace, identity.model, identity.version, identity.adapter]);
