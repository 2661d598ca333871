/**
Grammar of the values in statements: names, numbers, rates, durations.

Checks of values run in `ACTION`, as the library first runs every rule without
a text.
*/

import {EmbeddedActionsParser, type IOrAlt} from 'chevrotain';
import {StatementSyntaxError} from '../../statement-syntax-error/index.js';
import {syntaxErrorMessages} from '../syntax-error-messages/index.js';
import {
	readDuration, readNumber, readQuoted, readRate, readWholeNumber,
} from '../read-values/index.js';
import {
	comma, duration, keyword, numeral, quoted, rate, tokens, word,
	type KeywordName,
} from '../tokens/index.js';

/** A value whose fields can be set. */
export type Writable<Value> = {-readonly [Key in keyof Value]: Value[Key]};

/** The rules that all statements share. A parser that extends it analyses itself once its rules are there. */
export abstract class ValueParser extends EmbeddedActionsParser {
	protected readonly yesOrNoRule = this.RULE('yesOrNo', (): boolean => this.OR<boolean>([this.keywordAlternative('yes', true), this.keywordAlternative('no', false)]));

	protected readonly namesRule = this.RULE('names', (): string[] => {
		const names: string[] = [];
		this.AT_LEAST_ONE_SEP({
			SEP: comma,
			DEF: () => {
				names.push(this.SUBRULE(this.nameRule));
			},
		});
		return names;
	});

	protected readonly nameRule = this.RULE('name', (): string => this.OR<string>([
		{ALT: () => this.CONSUME(word).image},
		{ALT: () => this.SUBRULE(this.#quoted)},
	]));

	protected readonly rateRule = this.RULE('rate', (): number => {
		const token = this.CONSUME(rate);
		return this.ACTION(() => readRate(token));
	});

	protected readonly durationRule = this.RULE('duration', (): number => {
		const token = this.CONSUME(duration);
		return this.ACTION(() => readDuration(token));
	});

	protected readonly numberRule = this.RULE('number', (): number => {
		const token = this.CONSUME(numeral);
		return this.ACTION(() => readNumber(token));
	});

	protected readonly wholeNumberRule = this.RULE('wholeNumber', (): number => {
		const token = this.CONSUME(numeral);
		return this.ACTION(() => readWholeNumber(token));
	});

	readonly #quoted = this.RULE('quoted', (): string => {
		const token = this.CONSUME(quoted);
		return this.ACTION(() => readQuoted(token));
	});

	constructor() {
		super(tokens, {errorMessageProvider: syntaxErrorMessages, maxLookahead: 1});
	}

	/** Makes the alternative of a keyword that stands for a value. */
	protected keywordAlternative<Value>(name: KeywordName, value: Value): IOrAlt<Value> {
		return {
			ALT: () => {
				this.CONSUME(keyword(name));
				return value;
			},
		};
	}

	/** Makes the alternative of a setting that may be named once. */
	protected settingAlternative<Settings, Key extends keyof Settings>(name: KeywordName, settings: Settings, key: Key, read: () => Settings[Key]): IOrAlt<void> {
		return {
			ALT: () => {
				const token = this.CONSUME(keyword(name));
				this.ACTION(() => {
					if (settings[key] !== undefined) {
						throw new StatementSyntaxError(`"${name}" is named twice`, token.startOffset);
					}
				});
				settings[key] = read();
			},
		};
	}
}
