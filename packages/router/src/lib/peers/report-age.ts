/** Adjusts the relative times in a report that arrived through other daemons. */
import {type PeerReport} from './peer-report.js';

const noOrder = -1;

const shortened = (ms: number, ageMs: number): number => Math.max(0, ms - ageMs);

/** Most lists are empty, and bundles bring hundreds of reports per second. */
const mapped = <Item>(items: Item[], change: (item: Item) => Item): Item[] => items.length === 0 ? items : items.map(item => change(item));

/** Changes the relative times in the report to those `ageMs` after it was sent. `duty` is unchanged, since it counts from the time of the report. */
export function addAge(report: PeerReport, ageMs: number): void {
	report.loads = mapped(report.loads, ([id, running, pending, memory, lastsMs]) => [id, running, pending, memory, shortened(lastsMs, ageMs)]);
	report.named = mapped(report.named, ([model, version, ms]) => [model, version, ms + ageMs]);
	report.engines = mapped(report.engines, ([id, version, target, sinceOrderMs, dueInMs]) => [
		id, version, target, sinceOrderMs === noOrder ? noOrder : sinceOrderMs + ageMs, dueInMs === noOrder ? noOrder : shortened(dueInMs, ageMs),
	]);
	report.crashes = mapped(report.crashes, ([endpoint, startedAt, ms, suspects]) => [endpoint, startedAt, ms + ageMs, suspects]);
	report.refused = mapped(report.refused, ([digest, term, msLeft, isLifted]) => [digest, term, shortened(msLeft, ageMs), isLifted]);
	report.limits = mapped(report.limits, ([id, startedAt, perSecond, ms]) => [id, startedAt, perSecond, ms + ageMs]);
	report.paces = mapped(report.paces, ([id, pacePercent, ms]) => [id, pacePercent, ms + ageMs]);
	report.brittle = mapped(report.brittle, ([service, perSecond, ms]) => [service, perSecond, ms + ageMs]);
}
