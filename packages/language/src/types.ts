/**
Types of the operators' language: parsed statements, rows of query results, and the
responses of a control process.
*/

import type {CutOffPolicy, Revision} from '@fireflyglade/model';

/** A statement that changes the configuration. Its names are validated when it is converted to a configuration change. */
export type ChangeStatement =
	| {readonly kind: 'create-team'; readonly name: string; readonly ratePerSecond: number; readonly burst: number}
	| {readonly kind: 'change-team'; readonly name: string; readonly ratePerSecond?: number; readonly burst?: number}
	| {readonly kind: 'delete-team'; readonly name: string}
	| {readonly kind: 'issue-key'; readonly team: string}
	| {readonly kind: 'withdraw-key'; readonly id: string}
	| {readonly kind: 'create-route'; readonly method: string; readonly path: string; readonly settings: RouteStatementSettings}
	| {readonly kind: 'change-route'; readonly method: string; readonly path: string; readonly settings: RouteStatementSettings}
	| {readonly kind: 'delete-route'; readonly method: string; readonly path: string}
	| {readonly kind: 'drain-upstream'; readonly id: string}
	| {readonly kind: 'undrain-upstream'; readonly id: string}
	| {readonly kind: 'set-domain'; readonly name: string; readonly weight?: number; readonly witnesses?: readonly string[]}
	| {readonly kind: 'delete-domain'; readonly name: string};

/** The settings that a route statement names. Absent settings have their default in a new route and keep their value in an existing one. */
export type RouteStatementSettings = {
	readonly service?: string;
	readonly priority?: number;
	readonly idempotent?: boolean;
	readonly open?: boolean;
	readonly retryLimit?: number;
	readonly timeoutMilliseconds?: number;
	readonly whenCutOff?: CutOffPolicy;
	readonly teams?: readonly string[];
};

/** The kind of rows that a query reads. */
export type QuerySubject = 'teams' | 'keys' | 'routes' | 'upstreams' | 'nodes' | 'domains' | 'members' | 'history' | 'revision';

/** A comparison of a column with a value. */
export type Comparison = {
	readonly column: string;
	readonly operator: '=' | '!=' | '<' | '<=' | '>' | '>=' | 'like';
	readonly value: string | number | boolean;
};

/** A condition that selects rows. */
export type Filter =
	| {readonly kind: 'comparison'; readonly comparison: Comparison}
	| {readonly kind: 'and'; readonly filters: readonly Filter[]}
	| {readonly kind: 'or'; readonly filters: readonly Filter[]}
	| {readonly kind: 'not'; readonly filter: Filter};

/** A query of the configuration and of live metrics. */
export type QueryStatement = {
	readonly kind: 'show';
	readonly subject: QuerySubject;
	readonly filter?: Filter;
	readonly order?: ReadonlyArray<{readonly column: string; readonly descending: boolean}>;
	readonly limit?: number;
};

/** A statement that adds or removes a member of the control processes' replicated log. */
export type MemberStatement = {
	readonly kind: 'members';
	readonly action: 'add' | 'remove';
	readonly member: string;
};

/** A parsed statement. */
export type Statement =
	| {readonly kind: 'change'; readonly change: ChangeStatement; readonly expectedRevision?: Revision}
	| MemberStatement
	| {readonly kind: 'query'; readonly query: QueryStatement}
	| {readonly kind: 'help'; readonly topic?: string};

/** A cell of a result. */
export type CellValue = string | number | boolean | undefined;

/** A row of a result; the keys are column names. */
export type Row = Readonly<Record<string, CellValue>>;

/** The response of a control process to a statement, as JSON over HTTP. */
export type StatementResponse =
	| {
		readonly kind: 'changed';
		readonly revision: number;
		/** Failure domains in which the revision is in force. */
		readonly inForce: readonly string[];
		/** Failure domains that have not confirmed the revision yet. */
		readonly pending: readonly string[];
		/** Failure domains from which the control processes receive no reports. */
		readonly cutOff: readonly string[];
		/** Set if a key was issued; `secret` is only in the response to the statement that issued it. */
		readonly id?: string;
		readonly secret?: string;
	}
	| {readonly kind: 'rows'; readonly revision: number; readonly columns: readonly string[]; readonly rows: readonly Row[]}
	/** The voters after a change of members. */
	| {readonly kind: 'members-changed'; readonly voters: readonly string[]}
	| {readonly kind: 'help'; readonly text: string};

/** The response to a statement that failed, as JSON over HTTP. */
export type StatementErrorResponse = {
	readonly error: {
		readonly code: string;
		readonly message: string;
		/** Offset of the error in the statement, in characters from 0. */
		readonly position?: number;
	};
};
