import {type OwnReport, type PeerReport} from '../../peers.js';

/** Contents of an empty report. */
export const emptyContents: OwnReport = {
	heard: {}, usage: [], loads: [], named: [], duty: null, engines: [], ended: [], kept: [], placed: [], crashes: [], completed: [], refused: [], limits: [], leaving: [], brittle: [], paces: [],
	dutyDelayMs: 0,
};

/** An empty report, with `more` set on top. */
export const reportOf = (daemon: string, more: Partial<PeerReport> = {}): PeerReport => ({
	daemon, incarnation: 1, number: 1, isLeaving: false, address: '', dataCentre: '', relays: [], streams: [], collectorWeight: 0, ...emptyContents, ...more,
});
