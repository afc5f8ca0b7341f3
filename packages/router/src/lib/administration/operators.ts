/**
 * Operators and their keys. They stand in the daemon's settings, apart from the
 * document: whoever may change the document must not be able to make operators.
 */
import {Buffer} from 'node:buffer';
import {createHash, timingSafeEqual} from 'node:crypto';
import {z} from 'zod';
import {OperatorRoleError, OperatorUnknownError} from './administration-errors.js';

/** One operator, as settings list them. */
export const operatorSchema = z.strictObject({
	name: z.string().min(1).max(64).describe('Name in the history of changes.'),
	digest: z.string().regex(/^[\da-f]{64}$/v, 'use the SHA-256 of the key in hexadecimal').describe('SHA-256 of the operator\'s key in hexadecimal.'),
	role: z.enum(['read', 'change']).describe('`read` sees all; `change` may change it as well.'),
});

export type Operator = z.infer<typeof operatorSchema>;
export type OperatorRole = Operator['role'];

/** Tells who sends a request. */
export type OperatorGate = {
	/**
	 * @throws {OperatorUnknownError} when the header holds no operator's key.
	 * @throws {OperatorRoleError} when that operator may not do it.
	 */
	admit: (authorization: string | undefined, role: OperatorRole) => Operator;
};

const bearer = /^Bearer ([\u0021-\u007E]{1,256})$/v;

/** Creates the gate of a fixed list of operators. */
export function createOperatorGate(operators: readonly Operator[]): OperatorGate {
	const entries = operators.map(operator => ({operator, digest: Buffer.from(operator.digest, 'hex')}));
	return {
		admit(authorization, role) {
			const key = bearer.exec(authorization ?? '')?.[1] ?? '';
			const digest = createHash('sha256').update(key).digest();
			// Every entry is compared in full, so that time tells neither which one matched nor how far.
			const found = entries.filter(entry => timingSafeEqual(entry.digest, digest));
			if (key === '' || found.length === 0) {
				throw new OperatorUnknownError();
			}

			const [{operator}] = found;
			if (role === 'change' && operator.role !== 'change') {
				throw new OperatorRoleError(operator.name);
			}

			return operator;
		},
	};
}
