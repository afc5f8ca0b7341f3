/** Addresses as IP:PORT, which other processes state. */
import {isIPv4} from 'node:net';

const maxPort = 65_535;

/** Whether a connection to the address can be tried. */
export function isSocketAddress(address: string): boolean {
	const [host, port = '', ...more] = address.split(':');
	return more.length === 0 && isIPv4(host) && /^\d+$/v.test(port) && Number(port) > 0 && Number(port) <= maxPort;
}
