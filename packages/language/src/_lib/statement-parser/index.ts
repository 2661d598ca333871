/**
Grammar of the operators' language.

Each rule returns the typed part of the statement that it parsed. Checks of
values run in `ACTION`, as the library first runs every rule without a text.
*/

import {EmbeddedActionsParser, type IOrAlt, type ParserMethod} from 'chevrotain';
import type {CutOffPolicy, Revision} from '@fireflyglade/model';
import {StatementSyntaxError} from '../../statement-syntax-error/index.js';
import type {
	ChangeStatement, Comparison, Filter, QueryStatement, QuerySubject, RouteStatementSettings, Statement,
} from '../../types.js';
import {errorMessages} from '../error-messages/index.js';
import {
	readDuration, readMethod, readNumber, readQuoted, readRate, readWholeNumber,
} from '../read-values/index.js';
import {
	closeParenthesis, comma, comparisonSign, duration, keyword, numeral, openParenthesis, path, quoted, rate, tokens, word,
	type KeywordName,
} from '../tokens/index.js';

type Writable<Value> = {-readonly [Key in keyof Value]: Value[Key]};
type NameRule = ParserMethod<unknown[], ChangeStatement>;

const querySubjects = ['teams', 'keys', 'routes', 'upstreams', 'nodes', 'domains', 'members', 'history', 'revision'] as const;

/** The parser of one statement; set `input`, then call `statement`. */
export class StatementParser extends EmbeddedActionsParser {
	readonly statement = this.RULE('statement', (): Statement => this.OR<Statement>([
		{ALT: () => this.SUBRULE(this.#query)},
		{ALT: () => this.SUBRULE(this.#help)},
		{ALT: () => this.SUBRULE(this.#conditionalChange)},
	]));

	readonly #help = this.RULE('help', (): Statement => {
		this.CONSUME(keyword('help'));
		const topic = this.OPTION(() => this.CONSUME(word).image.toLowerCase());
		return topic === undefined ? {kind: 'help'} : {kind: 'help', topic};
	});

	readonly #conditionalChange = this.RULE('conditionalChange', (): Statement => {
		const change = this.SUBRULE(this.#change);
		const expectedRevision = this.OPTION(() => {
			this.CONSUME(keyword('if'));
			this.CONSUME(keyword('revision'));
			return this.SUBRULE(this.#wholeNumber) as Revision;
		});
		return expectedRevision === undefined ? {kind: 'change', change} : {kind: 'change', change, expectedRevision};
	});

	readonly #change = this.RULE('change', (): ChangeStatement => this.OR<ChangeStatement>([
		{ALT: () => this.SUBRULE(this.#create)},
		{ALT: () => this.SUBRULE(this.#changePresent)},
		{ALT: () => this.SUBRULE(this.#delete)},
		{ALT: () => this.SUBRULE(this.#issueKey)},
		{ALT: () => this.SUBRULE(this.#withdrawKey)},
		{ALT: () => this.SUBRULE(this.#drainUpstream)},
		{ALT: () => this.SUBRULE(this.#undrainUpstream)},
		{ALT: () => this.SUBRULE(this.#setDomain)},
	]));

	readonly #create = this.RULE('create', (): ChangeStatement => {
		this.CONSUME(keyword('create'));
		return this.OR<ChangeStatement>([
			{ALT: () => this.SUBRULE(this.#createTeam)},
			{ALT: () => this.SUBRULE(this.#createRoute)},
		]);
	});

	readonly #changePresent = this.RULE('changePresent', (): ChangeStatement => {
		this.CONSUME(keyword('change'));
		return this.OR<ChangeStatement>([
			{ALT: () => this.SUBRULE(this.#changeTeam)},
			{ALT: () => this.SUBRULE(this.#changeRoute)},
		]);
	});

	readonly #delete = this.RULE('delete', (): ChangeStatement => {
		this.CONSUME(keyword('delete'));
		return this.OR<ChangeStatement>([
			{ALT: () => this.SUBRULE(this.#deleteTeam)},
			{ALT: () => this.SUBRULE(this.#deleteRoute)},
			{ALT: () => this.SUBRULE(this.#deleteDomain)},
		]);
	});

	readonly #createTeam = this.RULE('createTeam', (): ChangeStatement => {
		this.CONSUME(keyword('team'));
		const name = this.SUBRULE(this.#name);
		this.CONSUME(keyword('rate'));
		const ratePerSecond = this.SUBRULE(this.#rate);
		this.CONSUME(keyword('burst'));
		const burst = this.SUBRULE(this.#wholeNumber);
		return {
			kind: 'create-team', name, ratePerSecond, burst,
		};
	});

	readonly #changeTeam = this.RULE('changeTeam', (): ChangeStatement => {
		this.CONSUME(keyword('team'));
		const name = this.SUBRULE(this.#name);
		const change: Writable<Extract<ChangeStatement, {kind: 'change-team'}>> = {kind: 'change-team', name};
		this.AT_LEAST_ONE(() => {
			this.OR([
				this.#setting('rate', change, 'ratePerSecond', () => this.SUBRULE(this.#rate)),
				this.#setting('burst', change, 'burst', () => this.SUBRULE(this.#wholeNumber)),
			]);
		});
		return change;
	});

	readonly #issueKey = this.RULE('issueKey', (): ChangeStatement => {
		this.CONSUME(keyword('issue'));
		this.CONSUME(keyword('key'));
		this.CONSUME(keyword('for'));
		this.CONSUME(keyword('team'));
		return {kind: 'issue-key', team: this.SUBRULE(this.#name)};
	});

	readonly #deleteTeam = this.#nameRule('team', name => ({kind: 'delete-team', name}));
	readonly #deleteDomain = this.#nameRule('domain', name => ({kind: 'delete-domain', name}));
	readonly #withdrawKey = this.#nameRule('key', id => ({kind: 'withdraw-key', id}), 'withdraw');
	readonly #drainUpstream = this.#nameRule('upstream', id => ({kind: 'drain-upstream', id}), 'drain');
	readonly #undrainUpstream = this.#nameRule('upstream', id => ({kind: 'undrain-upstream', id}), 'undrain');

	readonly #createRoute = this.RULE('createRoute', (): ChangeStatement => ({
		kind: 'create-route', ...this.SUBRULE(this.#route), settings: this.SUBRULE(this.#routeSettings),
	}));

	readonly #changeRoute = this.RULE('changeRoute', (): ChangeStatement => ({
		kind: 'change-route', ...this.SUBRULE(this.#route), settings: this.SUBRULE(this.#routeSettings),
	}));

	readonly #deleteRoute = this.RULE('deleteRoute', (): ChangeStatement => ({kind: 'delete-route', ...this.SUBRULE(this.#route)}));

	readonly #route = this.RULE('route', (): {method: string; path: string} => {
		this.CONSUME(keyword('route'));
		const method = this.CONSUME(word);
		const pattern = this.CONSUME(path);
		return {method: this.ACTION(() => readMethod(method)), path: pattern.image};
	});

	readonly #routeSettings = this.RULE('routeSettings', (): RouteStatementSettings => {
		const settings: Writable<RouteStatementSettings> = {};
		this.AT_LEAST_ONE(() => {
			this.OR([
				this.#setting('service', settings, 'service', () => this.SUBRULE(this.#name)),
				this.#setting('priority', settings, 'priority', () => this.SUBRULE1(this.#wholeNumber)),
				this.#setting('idempotent', settings, 'idempotent', () => this.SUBRULE1(this.#yesOrNo)),
				this.#setting('open', settings, 'open', () => this.SUBRULE2(this.#yesOrNo)),
				this.#setting('retries', settings, 'retryLimit', () => this.SUBRULE2(this.#wholeNumber)),
				this.#setting('timeout', settings, 'timeoutMilliseconds', () => this.SUBRULE(this.#duration)),
				this.#setting('when', settings, 'whenCutOff', () => this.SUBRULE(this.#cutOffPolicy)),
				this.#setting('teams', settings, 'teams', () => this.SUBRULE(this.#names)),
			]);
		});
		return settings;
	});

	readonly #cutOffPolicy = this.RULE('cutOffPolicy', (): CutOffPolicy => {
		this.CONSUME(keyword('cut'));
		this.CONSUME(keyword('off'));
		return this.OR<CutOffPolicy>([this.#constant('serve', 'serve'), this.#constant('refuse', 'refuse')]);
	});

	readonly #setDomain = this.RULE('setDomain', (): ChangeStatement => {
		this.CONSUME(keyword('set'));
		this.CONSUME(keyword('domain'));
		const name = this.SUBRULE(this.#name);
		const change: Writable<Extract<ChangeStatement, {kind: 'set-domain'}>> = {kind: 'set-domain', name};
		this.AT_LEAST_ONE(() => {
			this.OR([
				this.#setting('weight', change, 'weight', () => this.SUBRULE(this.#number)),
				this.#setting('witnesses', change, 'witnesses', () => this.SUBRULE(this.#names)),
			]);
		});
		return change;
	});

	readonly #query = this.RULE('query', (): Statement => {
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
			query.limit = this.SUBRULE(this.#wholeNumber);
		});
		return {kind: 'query', query};
	});

	readonly #subject = this.RULE('subject', (): QuerySubject => this.OR<QuerySubject>(querySubjects.map(subject => this.#constant(subject, subject))));

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
		this.#constant('desc', true),
		this.#constant('descending', true),
		this.#constant('asc', false),
		this.#constant('ascending', false),
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
			this.#constant('like', 'like'),
		]) as Comparison['operator'];
		return {column, operator, value: this.SUBRULE(this.#value)};
	});

	readonly #value = this.RULE('value', (): string | number | boolean => this.OR<string | number | boolean>({
		DEF: [
			this.#constant('true', true),
			this.#constant('yes', true),
			this.#constant('false', false),
			this.#constant('no', false),
			{ALT: () => this.SUBRULE(this.#number)},
			{ALT: () => this.SUBRULE(this.#name)},
		],
		// A word may be a name as well: the first alternative that fits is meant.
		IGNORE_AMBIGUITIES: true,
	}));

	readonly #yesOrNo = this.RULE('yesOrNo', (): boolean => this.OR<boolean>([this.#constant('yes', true), this.#constant('no', false)]));

	readonly #names = this.RULE('names', (): string[] => {
		const names: string[] = [];
		this.AT_LEAST_ONE_SEP({
			SEP: comma,
			DEF: () => {
				names.push(this.SUBRULE(this.#name));
			},
		});
		return names;
	});

	readonly #name = this.RULE('name', (): string => this.OR<string>([
		{ALT: () => this.CONSUME(word).image},
		{ALT: () => this.SUBRULE(this.#quoted)},
	]));

	readonly #quoted = this.RULE('quoted', (): string => {
		const token = this.CONSUME(quoted);
		return this.ACTION(() => readQuoted(token));
	});

	readonly #rate = this.RULE('rate', (): number => {
		const token = this.CONSUME(rate);
		return this.ACTION(() => readRate(token));
	});

	readonly #duration = this.RULE('duration', (): number => {
		const token = this.CONSUME(duration);
		return this.ACTION(() => readDuration(token));
	});

	readonly #number = this.RULE('number', (): number => {
		const token = this.CONSUME(numeral);
		return this.ACTION(() => readNumber(token));
	});

	readonly #wholeNumber = this.RULE('wholeNumber', (): number => {
		const token = this.CONSUME(numeral);
		return this.ACTION(() => readWholeNumber(token));
	});

	constructor() {
		super(tokens, {errorMessageProvider: errorMessages, maxLookahead: 1});
		this.performSelfAnalysis();
	}

	/** Makes the rule of a change that takes a name and nothing else, from its verb or from its subject on. */
	#nameRule(subject: KeywordName, create: (name: string) => ChangeStatement, verb?: KeywordName): NameRule {
		return this.RULE(`${verb ?? 'named'}-${subject}`, (): ChangeStatement => {
			if (verb !== undefined) {
				this.CONSUME(keyword(verb));
			}

			this.CONSUME(keyword(subject));
			return create(this.SUBRULE(this.#name));
		});
	}

	/** Makes the alternative of a keyword that stands for a value. */
	#constant<Value>(name: KeywordName, value: Value): IOrAlt<Value> {
		return {
			ALT: () => {
				this.CONSUME(keyword(name));
				return value;
			},
		};
	}

	/** Makes the alternative of a setting that may be named once. */
	#setting<Settings, Key extends keyof Settings>(name: KeywordName, settings: Settings, key: Key, read: () => Settings[Key]): IOrAlt<void> {
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
