/**
Grammar of queries.
*/

import type {ParserMethod} from 'chevrotain';
import type {
	Comparison, Filter, QueryStatement, QuerySubject, Statement,
} from '../../types.js';
import {
	closeParenthesis, comma, comparisonSign, keyword, openParenthesis, word,
} from '../tokens/index.js';
import {ValueParser, type Writable} from '../value-parser/index.js';

const querySubjects = ['teams', 'keys', 'routes', 'upstreams', 'nodes', 'domains', 'members', 'history', 'revision'] as const;

/** The rules of queries. */
export abstract class QueryParser extends ValueParser {
	protected readonly queryRule = this.RULE('query', (): Statement => {
		this.CONSUME(keyword('show'));
		const query: Writable<QueryStatement> = {kind: 'show', subject: this.SUBRULE(this.#subject)};
		this.OPTION1(() => {
			this.CONSUME(keyword('where'));
			query.filter = this.SUBRULE(this.#filter);
		});
		this.OPTION2(() => {
			this.CONSUME(keyword('order'));
			this.CONSUME(keyword('by'));
			query.order = this.SUBRULE(this.#order);
		});
		this.OPTION3(() => {
			this.CONSUME(keyword('limit'));
			query.limit = this.SUBRULE(this.wholeNumberRule);
		});
		return {kind: 'query', query};
	});

	readonly #subject = this.RULE('subject', (): QuerySubject => this.OR<QuerySubject>(querySubjects.map(subject => this.keywordAlternative(subject, subject))));

	readonly #order = this.RULE('order', (): Array<{column: string; descending: boolean}> => {
		const columns: Array<{column: string; descending: boolean}> = [];
		this.AT_LEAST_ONE_SEP({
			SEP: comma,
			DEF: () => {
				const column = this.CONSUME(word).image;
				const descending = this.OPTION(() => this.SUBRULE(this.#direction)) ?? false;
				columns.push({column, descending});
			},
		});
		return columns;
	});

	readonly #direction = this.RULE('direction', (): boolean => this.OR<boolean>([
		this.keywordAlternative('desc', true),
		this.keywordAlternative('descending', true),
		this.keywordAlternative('asc', false),
		this.keywordAlternative('ascending', false),
	]));

	readonly #filter: ParserMethod<unknown[], Filter> = this.RULE('filter', (): Filter => {
		const filters = [this.SUBRULE1(this.#conjunction)];
		this.MANY(() => {
			this.CONSUME(keyword('or'));
			filters.push(this.SUBRULE2(this.#conjunction));
		});
		return filters.length === 1 ? filters[0]! : {kind: 'or', filters};
	});

	readonly #conjunction: ParserMethod<unknown[], Filter> = this.RULE('conjunction', (): Filter => {
		const filters = [this.SUBRULE1(this.#condition)];
		this.MANY(() => {
			this.CONSUME(keyword('and'));
			filters.push(this.SUBRULE2(this.#condition));
		});
		return filters.length === 1 ? filters[0]! : {kind: 'and', filters};
	});

	readonly #condition: ParserMethod<unknown[], Filter> = this.RULE('condition', (): Filter => this.OR<Filter>([
		{
			ALT: () => {
				this.CONSUME(keyword('not'));
				return {kind: 'not', filter: this.SUBRULE(this.#condition)};
			},
		},
		{
			ALT: () => {
				this.CONSUME(openParenthesis);
				const filter = this.SUBRULE(this.#filter);
				this.CONSUME(closeParenthesis);
				return filter;
			},
		},
		{ALT: () => ({kind: 'comparison', comparison: this.SUBRULE(this.#comparison)})},
	]));

	readonly #comparison = this.RULE('comparison', (): Comparison => {
		const column = this.CONSUME(word).image;
		const operator = this.OR<string>([
			{ALT: () => this.CONSUME(comparisonSign).image},
			this.keywordAlternative('like', 'like'),
		]) as Comparison['operator'];
		return {column, operator, value: this.SUBRULE(this.#value)};
	});

	readonly #value = this.RULE('value', (): string | number | boolean => this.OR<string | number | boolean>({
		DEF: [
			this.keywordAlternative('true', true),
			this.keywordAlternative('yes', true),
			this.keywordAlternative('false', false),
			this.keywordAlternative('no', false),
			{ALT: () => this.SUBRULE(this.numberRule)},
			{ALT: () => this.SUBRULE(this.nameRule)},
		],
		// A word may be a name as well: the first alternative that fits is meant.
		IGNORE_AMBIGUITIES: true,
	}));
}
