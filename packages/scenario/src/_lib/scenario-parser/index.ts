/**
Parses the tokens of a scenario into typed values, without checking its references.
*/

import {EmbeddedActionsParser, type IOrAlt} from 'chevrotain';
import type {
	Scenario, ScenarioCaller, ScenarioEvent, ScenarioExpectation, ScenarioFault, ScenarioMeasure, ScenarioUpstream,
} from '../../scenario.types.js';
import {
	count, keyword, path, quoted, rate, share, time, tokens, word, type ScenarioKeyword,
} from '../scenario-tokens/index.js';

type Part = ScenarioUpstream | ScenarioCaller | ScenarioEvent | Omit<ScenarioExpectation, 'text'> | {readonly kind: 'end'; readonly at: number};

/** A parsed scenario before the source lines of its expectations are added. */
export type ParsedScenario = Omit<Scenario, 'expectations'> & {
	readonly expectations: ReadonlyArray<Omit<ScenarioExpectation, 'text'>>;
};

const millisecondsInSecond = 1000;
const percent = 100;

/** Parser of the scenario language. Set `input`, call `scenario`, then read `errors`. */
export class ScenarioParser extends EmbeddedActionsParser {
	readonly scenario = this.RULE('scenario', (): ParsedScenario => {
		const parts: Part[] = [];
		this.MANY(() => {
			parts.push(this.SUBRULE(this.#part));
		});
		return this.ACTION(() => collectParts(parts));
	});

	readonly #part = this.RULE('part', (): Part => this.OR<Part>([
		{ALT: () => this.SUBRULE(this.#upstream)},
		{ALT: () => this.SUBRULE(this.#caller)},
		{ALT: () => this.SUBRULE(this.#event)},
		{ALT: () => this.SUBRULE(this.#expectation)},
		{ALT: () => this.SUBRULE(this.#end)},
	]));

	readonly #upstream = this.RULE('upstream', (): ScenarioUpstream => {
		this.CONSUME(keyword('upstream'));
		const node = this.CONSUME1(word).image;
		this.CONSUME(keyword('service'));
		const service = this.CONSUME2(word).image;
		this.CONSUME(keyword('domain'));
		const domain = this.CONSUME3(word).image;
		this.CONSUME(keyword('slots'));
		const slots = Number(this.CONSUME(count).image);
		this.CONSUME(keyword('time'));
		const serviceMilliseconds = this.SUBRULE(this.#time);
		return {
			kind: 'upstream', node, service, domain, slots, serviceMilliseconds,
		};
	});

	readonly #caller = this.RULE('caller', (): ScenarioCaller => {
		this.CONSUME(keyword('caller'));
		const name = this.CONSUME1(word).image;
		const key = this.OPTION1(() => {
			this.CONSUME(keyword('key'));
			return this.CONSUME2(word).image;
		});
		this.CONSUME(keyword('calls'));
		const method = this.CONSUME3(word).image;
		const target = this.CONSUME(path).image;
		this.CONSUME(keyword('domain'));
		const domain = this.CONSUME4(word).image;
		this.CONSUME(keyword('rate'));
		const ratePerSecond = Number.parseFloat(this.CONSUME(rate).image);
		const window = this.SUBRULE(this.#window);
		const jobs = this.OPTION2(() => this.CONSUME(keyword('jobs'))) !== undefined;
		return {
			kind: 'caller', name, ...(key === undefined ? {} : {key}), method, path: target, domain, ratePerSecond, ...window, jobs,
		};
	});

	readonly #event = this.RULE('event', (): ScenarioEvent => {
		const line = this.CONSUME(keyword('at')).startLine ?? 0;
		const at = this.SUBRULE(this.#time);
		return {
			kind: 'event', at, fault: this.SUBRULE(this.#fault), line,
		};
	});

	readonly #fault = this.RULE('fault', (): ScenarioFault => this.OR<ScenarioFault>([
		{
			ALT: () => {
				this.CONSUME(keyword('slow'));
				const node = this.CONSUME1(word).image;
				this.CONSUME(keyword('to'));
				return {kind: 'slow', node, serviceMilliseconds: this.SUBRULE(this.#time)};
			},
		},
		this.#faultAlternative('crash', 2, node => ({kind: 'crash', node})),
		this.#faultAlternative('restart', 3, node => ({kind: 'restart', node})),
		this.#faultAlternative('leave', 4, node => ({kind: 'leave', node})),
		this.#faultAlternative('cut', 5, domain => ({kind: 'cut', domain})),
		{
			ALT: () => {
				this.CONSUME(keyword('heal'));
				return {kind: 'heal'};
			},
		},
		{
			ALT: () => {
				this.CONSUME(keyword('statement'));
				return {kind: 'statement', text: this.CONSUME(quoted).image.slice(1, -1)};
			},
		},
	]));

	readonly #expectation = this.RULE('expectation', (): Omit<ScenarioExpectation, 'text'> => {
		const line = this.CONSUME(keyword('expect')).startLine ?? 0;
		const measure = this.SUBRULE(this.#measure);
		this.CONSUME(keyword('at'));
		const bound = this.OR1<'at least' | 'at most'>([
			this.#keywordAlternative('least', 'at least'),
			this.#keywordAlternative('most', 'at most'),
		]);
		const value = this.OR2([
			{ALT: () => Number.parseFloat(this.CONSUME(share).image) / percent},
			{ALT: () => Number(this.CONSUME(count).image)},
		]);
		return {
			kind: 'expectation', measure, bound, value, ...this.SUBRULE(this.#window), line,
		};
	});

	readonly #measure = this.RULE('measure', (): ScenarioMeasure => this.OR<ScenarioMeasure>([
		this.#measureAlternative(1, ['goodput'], caller => ({kind: 'goodput', caller})),
		this.#measureAlternative(2, ['admitted'], caller => ({kind: 'admitted', caller})),
		this.#measureAlternative(3, ['refusals', 'by', 'rate'], caller => ({kind: 'refusals by rate', caller})),
		this.#measureAlternative(4, ['runs'], caller => ({kind: 'runs', caller})),
		this.#measureAlternative(5, ['starts'], caller => ({kind: 'starts', caller})),
		this.#measureAlternative(6, ['work'], node => ({kind: 'work', node})),
		this.#measureAlternative(7, ['false'], caller => ({kind: 'false refusals', caller})),
	]));

	readonly #window = this.RULE('window', (): {from: number; until: number} => {
		const from = this.OPTION1(() => {
			this.CONSUME(keyword('from'));
			return this.SUBRULE1(this.#time);
		});
		const until = this.OPTION2(() => {
			this.CONSUME(keyword('until'));
			return this.SUBRULE2(this.#time);
		});
		return {from: from ?? 0, until: until ?? Number.POSITIVE_INFINITY};
	});

	readonly #end = this.RULE('end', (): Part => {
		this.CONSUME(keyword('end'));
		return {kind: 'end', at: this.SUBRULE(this.#time)};
	});

	readonly #time = this.RULE('time', (): number => {
		const {image} = this.CONSUME(time);
		return Number.parseFloat(image) * (image.endsWith('ms') ? 1 : millisecondsInSecond);
	});

	constructor() {
		super(tokens, {maxLookahead: 1});
		this.performSelfAnalysis();
	}

	/**
	Creates the alternative of a fault that names a node or a domain.

	@param index - Must be unique within the rule: Chevrotain distinguishes calls that consume the same token by it.
	*/
	#faultAlternative(name: ScenarioKeyword, index: number, create: (name: string) => ScenarioFault): IOrAlt<ScenarioFault> {
		return {
			ALT: () => {
				this.CONSUME(keyword(name));
				return create(this.consume(index, word).image);
			},
		};
	}

	/**
	Creates the alternative of a measure.

	@param index - Must be unique within the rule: Chevrotain distinguishes calls that consume the same token by it.
	*/
	#measureAlternative(index: number, words: readonly ScenarioKeyword[], create: (name: string) => ScenarioMeasure): IOrAlt<ScenarioMeasure> {
		return {
			ALT: () => {
				for (const name of words) {
					this.consume(index, keyword(name));
				}

				if (words[0] === 'false') {
					this.consume(index, keyword('refusals'));
				}

				this.consume(index, keyword('of'));
				return create(this.consume(index, word).image);
			},
		};
	}

	/** Creates an alternative that consumes one keyword and returns a fixed value. */
	#keywordAlternative<Value>(name: ScenarioKeyword, value: Value): IOrAlt<Value> {
		return {
			ALT: () => {
				this.CONSUME(keyword(name));
				return value;
			},
		};
	}
}

/** Groups the parts by kind and sorts the events by time. */
function collectParts(parts: readonly Part[]): ParsedScenario {
	const upstreams: ScenarioUpstream[] = [];
	const callers: ScenarioCaller[] = [];
	const events: ScenarioEvent[] = [];
	const expectations: Array<Omit<ScenarioExpectation, 'text'>> = [];
	let end = 0;
	for (const part of parts) {
		switch (part.kind) {
			case 'upstream': {
				upstreams.push(part);
				break;
			}

			case 'caller': {
				callers.push(part);
				break;
			}

			case 'event': {
				events.push(part);
				break;
			}

			case 'expectation': {
				expectations.push(part);
				break;
			}

			case 'end': {
				end = part.at;
				break;
			}
		}
	}

	events.sort((left, right) => left.at - right.at);
	return {
		upstreams, callers, events, expectations, end,
	};
}
