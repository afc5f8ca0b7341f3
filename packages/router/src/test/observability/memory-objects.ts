import {PlatformUnavailableError} from '../../lib/platform/platform-errors.js';
import {type ObjectClient} from '../../platform.js';

/** In-memory object store whose calls can fail before or after they take effect. */
export type MemoryObjects = ObjectClient & {
	store: Map<string, Uint8Array>;
	/** Called before each call; `down` fails the call, `lost` executes it and loses the response. */
	fault: (call: 'put' | 'get' | 'list' | 'remove', name: string) => 'none' | 'down' | 'lost';
};

export function createMemoryObjects(): MemoryObjects {
	const store = new Map<string, Uint8Array>();
	const withFault = async <Result>(call: 'put' | 'get' | 'list' | 'remove', name: string, apply: () => Result): Promise<Result> => {
		const fault = objects.fault(call, name);
		if (fault === 'down') {
			throw new PlatformUnavailableError('The object store is unavailable by an injected fault.', false);
		}

		const result = apply();
		if (fault === 'lost') {
			throw new PlatformUnavailableError('The response of the object store was lost by an injected fault.', true);
		}

		return result;
	};

	const objects: MemoryObjects = {
		store,
		fault: () => 'none',
		put: async (name, content, options) => withFault('put', name, () => {
			if (options?.ifAbsent === true && store.has(name)) {
				return false;
			}

			store.set(name, content);
			return true;
		}),
		get: async name => withFault('get', name, () => store.get(name)),
		list: async prefix => withFault('list', prefix, () => [...store.keys()].filter(name => name.startsWith(prefix)).toSorted()),
		remove: async name => withFault('remove', name, () => {
			store.delete(name);
		}),
	};
	return objects;
}
