/**
 * Operators and their keys. They are part of the daemon's settings and not of
 * the document, so that whoever may change the document can't add operators.
 */
import {Buffer} from 'node:buffer';
import {createHash, timingSafeEqual} from 'node:crypto';
import {z} from 'zod';
import {OperatorRoleError, OperatorUnknownError} from './administration-errors.js';

/** One operator in the settings. */
export const operatorSchema = z.strictObject({
	name: z.string().min(1).max(64).describe('Name in the history of changes.'),
	digest: z.string().regex(/^[\da-f]{64}$/v, 'use the SHA-256 of the key in hexadecimal').describe('SHA-256 of the operator\'s key in hexadecimal.'),
	role: z.enum(['read', 'change']).describe('`read` sees all; `change` may change it as well.'),
});

export type Operator = z.infer<typeof operatorSchema>;
export type OperatorRole = Operator['role'];

/** Authenticates operators and checks their role. */
export type OperatorAuthorizer = {
	/**
	 * Returns the operator whose key is in the authorization header.
	 *
	 * @throws {OperatorUnknownError} when the header contains no operator's key.
	 * @throws {OperatorRoleError} when the operator lacks the role.
	 */
	authorize: (authorization: string | undefined, role: OperatorRole) => Operator;
};

const bearerPattern = /^Bearer ([\u0021-\u007E]{1,256})$/v;

/** Creates an authorizer for a fixed list of operators. */
export function createOperatorAuthorizer(operators: readonly Operator[]): OperatorAuthorizer {
	const entries = operators.map(operator => ({operator, digest: Buffer.from(operator.digest, 'hex')}));
	return {
		authorize(authorization, role) {
			const key = bearerPattern.exec(authorization ?? '')?.[1] ?? '';
			const digest = createHash('sha256').update(key).digest();
			// All entries are compared in constant time, so that timing reveals neither which one matched nor how many bytes.
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
