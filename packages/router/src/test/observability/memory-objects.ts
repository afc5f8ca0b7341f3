import {PlatformUnavailableError} from '../../lib/platform/platform-errors.js';
import {type ObjectClient} from '../../platform.js';

/** An object store in memory whose calls can fail, before or after they take effect. */
export type MemoryObjects = ObjectClient & {
	store: Map<string, Uint8Array>;
	/** Asked before each call; `lost` applies the call and loses its answer. */
	fault: (call: 'put' | 'get' | 'list' | 'remove', name: string) => 'none' | 'down' | 'lost';
};

export function createMemoryObjects(): MemoryObjects {
	const store = new Map<string, Uint8Array>();
	const through = async <Result>(call: 'put' | 'get' | 'list' | 'remove', name: string, apply: () => Result): Promise<Result> => {
		const fault = objects.fault(call, name);
		if (fault === 'down') {
			throw new PlatformUnavailableError('The store is down; try again later.', false);
		}

		const result = apply();
		if (fault === 'lost') {
			throw new PlatformUnavailableError('The answer was lost; read back.', true);
		}

		return result;
	};

	const objects: MemoryObjects = {
		store,
		fault: () => 'none',
		put: async (name, content, options) => through('put', name, () => {
			if (options?.ifAbsent === true && store.has(name)) {
				return false;
			}

			store.set(name, content);
			return true;
		}),
		get: async name => through('get', name, () => store.get(name)),
		list: async prefix => through('list', prefix, () => [...store.keys()].filter(name => name.startsWith(prefix)).toSorted()),
		remove: async name => through('remove', name, () => {
			store.delete(name);
		}),
	};
	return objects;
}
