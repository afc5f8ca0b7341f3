/**
 * Text of a report within a bundle: the fields that aren't empty, each with its position in one
 * character, separated by tabs. Receivers compare the text with that of the previous report of the
 * same daemon, and decode only the fields that have changed.
 */
import {copyOfText} from '../buffers/copied-text.js';
import {type PeerReport, peerReportSchema} from './peer-report.js';
import {isEmpty} from './report-codec.js';

type FieldName = keyof typeof peerReportSchema.shape;

/** Fields that bundles carry apart from the text, or not at all. */
const otherFields: ReadonlySet<FieldName> = new Set(['daemon', 'incarnation', 'number', 'isLeaving', 'kept', 'placed', 'relays', 'streams']);

/** Fields in the order of the text; new fields of reports are appended. */
const textFields = (Object.keys(peerReportSchema.shape) as FieldName[]).filter(field => !otherFields.has(field));

/** JSON text never contains an unescaped tab. */
const separator = '\t';

/** Radix in which the position of a field is one character. */
const positionRadix = 36;

/** Fields of a report that its text carries. */
export type ReportState = Omit<PeerReport, 'daemon' | 'incarnation' | 'number' | 'isLeaving' | 'kept' | 'placed' | 'relays' | 'streams'>;

/** A decoded text. */
export type DecodedText = {
	text: string;
	/** Fields with their positions. */
	fields: readonly string[];
	state: ReportState;
};

/** Encodes the state of a report. */
export function encodeReportText(state: ReportState): string {
	const fields: string[] = [];
	for (const [index, field] of textFields.entries()) {
		const value = state[field as keyof ReportState];
		if (!isEmpty(value)) {
			fields.push(index.toString(positionRadix) + JSON.stringify(value));
		}
	}

	return fields.join(separator);
}

/** Returns the values of all fields. @throws when a field is invalid. */
function decodeAll(fields: readonly string[]): ReportState {
	const encoded = new Map(fields.map(field => [field[0], field.slice(1)]));
	return Object.fromEntries(textFields.map((field, index) => {
		const json = encoded.get(index.toString(positionRadix));
		return [field, peerReportSchema.shape[field].parse(json === undefined ? undefined : JSON.parse(json))];
	})) as ReportState;
}

/** Returns the values of the previous report with those that have changed. @throws when a field is invalid. */
function decodeChanged(fields: readonly string[], previous: DecodedText): ReportState {
	const state: Record<string, unknown> = {...previous.state};
	for (const [index, field] of fields.entries()) {
		const name = textFields.at(Number.parseInt(field[0], positionRadix));
		if (field !== previous.fields[index] && name !== undefined) {
			state[name] = peerReportSchema.shape[name].parse(JSON.parse(field.slice(1)));
		}
	}

	return state as ReportState;
}

/**
 * Decodes a text, reusing what equals the previous text of the same daemon.
 * @throws when a field is invalid.
 */
export function decodeReportText(received: string, previous?: DecodedText): DecodedText {
	if (previous?.text === received) {
		return previous;
	}

	// It is a slice of a bundle, and is kept until the report changes.
	const text = copyOfText(received);
	const fields = text.split(separator);
	const hasSameFields = previous?.fields.length === fields.length && fields.every((field, index) => field.startsWith(previous.fields[index][0]));
	return {text, fields, state: hasSameFields ? decodeChanged(fields, previous) : decodeAll(fields)};
}
