/**
Grammar of the operators' language.

Each rule returns the typed part of the statement that it parsed.
*/

import type {ParserMethod} from 'chevrotain';
import type {CutOffPolicy, Revision} from '@fireflyglade/model';
import type {ChangeStatement, RouteStatementSettings, Statement} from '../../types.js';
import {QueryParser} from '../query-parser/index.js';
import {readMethod} from '../read-values/index.js';
import {
	keyword, path, word, type KeywordName,
} from '../tokens/index.js';
import type {Writable} from '../value-parser/index.js';

type NameRule = ParserMethod<unknown[], ChangeStatement>;

/** The parser of one statement; set `input`, then call `statement`. */
export class StatementParser extends QueryParser {
	readonly statement = this.RULE('statement', (): Statement => this.OR<Statement>([
		{ALT: () => this.SUBRULE(this.queryRule)},
		{ALT: () => this.SUBRULE(this.#help)},
		{ALT: () => this.SUBRULE(this.#members)},
		{ALT: () => this.SUBRULE(this.#conditionalChange)},
	]));

	readonly #help = this.RULE('help', (): Statement => {
		this.CONSUME(keyword('help'));
		const topic = this.OPTION(() => this.CONSUME(word).image.toLowerCase());
		return topic === undefined ? {kind: 'help'} : {kind: 'help', topic};
	});

	readonly #members = this.RULE('members', (): Statement => {
		const action = this.OR<'add' | 'remove'>([this.keywordAlternative('add', 'add'), this.keywordAlternative('remove', 'remove')]);
		this.CONSUME(keyword('member'));
		return {kind: 'members', action, member: this.SUBRULE(this.nameRule)};
	});

	readonly #conditionalChange = this.RULE('conditionalChange', (): Statement => {
		const change = this.SUBRULE(this.#change);
		const expectedRevision = this.OPTION(() => {
			this.CONSUME(keyword('if'));
			this.CONSUME(keyword('revision'));
			return this.SUBRULE(this.wholeNumberRule) as Revision;
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
		const name = this.SUBRULE(this.nameRule);
		this.CONSUME(keyword('rate'));
		const ratePerSecond = this.SUBRULE(this.rateRule);
		this.CONSUME(keyword('burst'));
		const burst = this.SUBRULE(this.wholeNumberRule);
		return {
			kind: 'create-team', name, ratePerSecond, burst,
		};
	});

	readonly #changeTeam = this.RULE('changeTeam', (): ChangeStatement => {
		this.CONSUME(keyword('team'));
		const name = this.SUBRULE(this.nameRule);
		const change: Writable<Extract<ChangeStatement, {kind: 'change-team'}>> = {kind: 'change-team', name};
		this.AT_LEAST_ONE(() => {
			this.OR([
				this.settingAlternative('rate', change, 'ratePerSecond', () => this.SUBRULE(this.rateRule)),
				this.settingAlternative('burst', change, 'burst', () => this.SUBRULE(this.wholeNumberRule)),
			]);
		});
		return change;
	});

	readonly #issueKey = this.RULE('issueKey', (): ChangeStatement => {
		this.CONSUME(keyword('issue'));
		this.CONSUME(keyword('key'));
		this.CONSUME(keyword('for'));
		this.CONSUME(keyword('team'));
		return {kind: 'issue-key', team: this.SUBRULE(this.nameRule)};
	});

	readonly #deleteTeam = this.#namedSubjectRule('team', name => ({kind: 'delete-team', name}));
	readonly #deleteDomain = this.#namedSubjectRule('domain', name => ({kind: 'delete-domain', name}));
	readonly #withdrawKey = this.#namedSubjectRule('key', id => ({kind: 'withdraw-key', id}), 'withdraw');
	readonly #drainUpstream = this.#namedSubjectRule('upstream', id => ({kind: 'drain-upstream', id}), 'drain');
	readonly #undrainUpstream = this.#namedSubjectRule('upstream', id => ({kind: 'undrain-upstream', id}), 'undrain');

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
				this.settingAlternative('service', settings, 'service', () => this.SUBRULE(this.nameRule)),
				this.settingAlternative('priority', settings, 'priority', () => this.SUBRULE1(this.wholeNumberRule)),
				this.settingAlternative('idempotent', settings, 'idempotent', () => this.SUBRULE1(this.yesOrNoRule)),
				this.settingAlternative('open', settings, 'open', () => this.SUBRULE2(this.yesOrNoRule)),
				this.settingAlternative('retries', settings, 'retryLimit', () => this.SUBRULE2(this.wholeNumberRule)),
				this.settingAlternative('timeout', settings, 'timeoutMilliseconds', () => this.SUBRULE(this.durationRule)),
				this.settingAlternative('when', settings, 'whenCutOff', () => this.SUBRULE(this.#cutOffPolicy)),
				this.settingAlternative('teams', settings, 'teams', () => this.SUBRULE(this.namesRule)),
			]);
		});
		return settings;
	});

	readonly #cutOffPolicy = this.RULE('cutOffPolicy', (): CutOffPolicy => {
		this.CONSUME(keyword('cut'));
		this.CONSUME(keyword('off'));
		return this.OR<CutOffPolicy>([this.keywordAlternative('serve', 'serve'), this.keywordAlternative('refuse', 'refuse')]);
	});

	readonly #setDomain = this.RULE('setDomain', (): ChangeStatement => {
		this.CONSUME(keyword('set'));
		this.CONSUME(keyword('domain'));
		const name = this.SUBRULE(this.nameRule);
		const change: Writable<Extract<ChangeStatement, {kind: 'set-domain'}>> = {kind: 'set-domain', name};
		this.AT_LEAST_ONE(() => {
			this.OR([
				this.settingAlternative('weight', change, 'weight', () => this.SUBRULE(this.numberRule)),
				this.settingAlternative('witnesses', change, 'witnesses', () => this.SUBRULE(this.namesRule)),
			]);
		});
		return change;
	});

	constructor() {
		super();
		this.performSelfAnalysis();
	}

	/** Makes the rule of a change that takes a name and nothing else, from its verb or from its subject on. */
	#namedSubjectRule(subject: KeywordName, create: (name: string) => ChangeStatement, verb?: KeywordName): NameRule {
		return this.RULE(`${verb ?? 'named'}-${subject}`, (): ChangeStatement => {
			if (verb !== undefined) {
				this.CONSUME(keyword(verb));
			}

			this.CONSUME(keyword(subject));
			return create(this.SUBRULE(this.nameRule));
		});
	}
}
