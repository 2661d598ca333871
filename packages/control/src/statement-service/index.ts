/**
Executes statements of operators.

The secret of a key is derived from the operator's token and the command id. A
statement that is resent after its answer was lost therefore returns the same secret,
although the secret is never stored.
*/

import {createHash, createHmac} from 'node:crypto';
import {
	getHelpText, parseStatement, toConfigurationChange, type ChangeStatement, type Statement, type StatementResponse,
} from '@fireflyglade/language';
import {
	createMemberId, FireflygladeError, UnreachableError, type Clock, type CommandId, type KeyDigest, type KeyId, type Revision,
} from '@fireflyglade/model';
import type {ChangeRefusal, CommandResult} from '@fireflyglade/state';
import type {CommandProposer} from '../command-proposer/index.js';
import type {FleetRegistry, RevisionProgress} from '../fleet-registry/index.js';
import type {MembershipService} from '../membership-service/index.js';
import type {QueryService} from '../query-service/index.js';
import type {ReplicatedLog} from '../replicated-log/index.js';

/** An operator, identified by a token. */
export type Operator = {
	readonly name: string;
	readonly role: 'operator' | 'viewer';
	readonly token: string;
};

/** A statement that an operator sent. */
export type StatementRequest = {
	readonly statement: string;
	readonly commandId: CommandId;
	readonly operator: Operator;
};

/** The operator's role does not allow changes. */
export class ForbiddenStatementError extends FireflygladeError {
	get code(): 'forbidden' {
		return 'forbidden';
	}
}

/** The state machine refused the change. */
export class ChangeRefusedError extends FireflygladeError {
	readonly refusal: ChangeRefusal;

	get code(): ChangeRefusal['kind'] {
		return this.refusal.kind;
	}

	constructor(refusal: ChangeRefusal) {
		super(describeRefusal(refusal));
		this.refusal = refusal;
	}
}

/** Dependencies of the statement service. */
export type StatementServiceOptions = {
	readonly log: ReplicatedLog;
	readonly proposer: CommandProposer;
	readonly registry: FleetRegistry;
	readonly members: MembershipService;
	readonly queries: QueryService;
	readonly clock: Clock;
};

type IssuedKey = {readonly id: KeyId; readonly digest: KeyDigest; readonly secret: string};

const inForceTimeoutMilliseconds = 2000;
const keyIdLength = 16;

function describeRefusal(refusal: ChangeRefusal): string {
	switch (refusal.kind) {
		case 'revision-conflict': {
			const winner = refusal.winner === undefined ? '' : `; ${refusal.winner.operator} made the change ${refusal.winner.change.kind} that led to it`;
			return `the configuration is at revision ${refusal.actual}, not ${refusal.expected}${winner}`;
		}

		case 'label-conflict': {
			return `the configuration in place has label ${refusal.actual}, not ${refusal.expected}`;
		}

		case 'already-exists': {
			return `${refusal.what} already exists`;
		}

		case 'not-found': {
			return `there is no ${refusal.what}`;
		}

		case 'invalid': {
			return refusal.what;
		}

		default: {
			throw new UnreachableError(refusal);
		}
	}
}

/** Derives a key: its id from the command id, its secret from the operator's token and the command id, and its digest from the secret. */
export function deriveKey(operatorToken: string, commandId: CommandId): IssuedKey {
	const secret = `ffg_${createHmac('sha256', operatorToken).update(`issue key ${commandId}`).digest('base64url')}`;
	const digest = createHash('sha256').update(secret).digest('hex') as KeyDigest;
	const id = `key-${createHash('sha256').update(commandId).digest('hex').slice(0, keyIdLength)}` as KeyId;
	return {id, digest, secret};
}

/** Executes statements of operators. */
export class StatementService {
	readonly #options: StatementServiceOptions;

	constructor(options: StatementServiceOptions) {
		this.#options = options;
	}

	/**
	Executes a statement.

	@throws {StatementSyntaxError} The text has a syntax error.
	@throws {InvalidInputError} A name or value is not allowed.
	@throws {ForbiddenStatementError} The operator's role does not allow changes.
	@throws {ChangeRefusedError} The state machine refused the change.
	@throws {MembershipChangeRefusedError} The membership change was refused.
	@throws {UnknownColumnError} A query names a column that does not exist.
	@throws {NoQuorumError} No quorum confirmed the statement in time; a resend of a change with the same command id returns its outcome.
	*/
	async execute(request: StatementRequest): Promise<StatementResponse> {
		const statement = parseStatement(request.statement);
		switch (statement.kind) {
			case 'change': {
				return this.#change(request, statement);
			}

			case 'members': {
				this.#assertMayChange(request.operator);
				const voters = await this.#options.members.change({action: statement.action, member: createMemberId(statement.member)});
				return {kind: 'members-changed', voters};
			}

			case 'query': {
				return this.#options.queries.answer(statement.query);
			}

			case 'help': {
				return {kind: 'help', text: getHelpText(statement.topic)};
			}

			default: {
				throw new UnreachableError(statement);
			}
		}
	}

	async #change(request: StatementRequest, statement: Extract<Statement, {kind: 'change'}>): Promise<StatementResponse> {
		this.#assertMayChange(request.operator);
		const key = deriveKey(request.operator.token, request.commandId);
		const result = await this.#options.proposer.submit({
			kind: 'change',
			commandId: request.commandId,
			change: toConfigurationChange(statement.change, {
				configuration: this.#options.log.stateMachine().configuration(),
				createKey: () => ({id: key.id, digest: key.digest}),
			}),
			...(statement.expectedRevision === undefined ? {} : {expectedRevision: statement.expectedRevision}),
			requestDigest: createHash('sha256').update(request.statement).digest('hex'),
			operator: request.operator.name,
			at: this.#options.clock.wallNow(),
		});
		return this.#answerChange(result, statement.change, key);
	}

	#assertMayChange(operator: Operator): void {
		if (operator.role !== 'operator') {
			throw new ForbiddenStatementError(`the token ${operator.name} may show but not change`);
		}
	}

	async #answerChange(result: CommandResult, change: ChangeStatement, key: IssuedKey): Promise<StatementResponse> {
		if (result.kind === 'refused') {
			throw new ChangeRefusedError(result.refusal);
		}

		if (result.kind !== 'changed') {
			throw new ChangeRefusedError({kind: 'invalid', what: 'the command id was used for something other than a change'});
		}

		const progress = await this.#waitUntilInForce(result.revision);
		return {
			kind: 'changed',
			revision: result.revision,
			...progress,
			...(change.kind === 'issue-key' ? {id: key.id, secret: key.secret} : {}),
		};
	}

	/** Waits until the revision is in force in all domains with reporting nodes, or until the timeout. */
	async #waitUntilInForce(revision: Revision): Promise<RevisionProgress> {
		const {clock, registry} = this.#options;
		const deadline = clock.now() + inForceTimeoutMilliseconds;
		while (this.#revisionProgress(revision).pending.length > 0 && clock.now() < deadline) {
			await new Promise<void>(resolve => {
				const timer = clock.startTimer(deadline - clock.now(), () => {
					stopListening();
					resolve();
				});
				const stopListening = registry.onReport(() => {
					timer.cancel();
					stopListening();
					resolve();
				});
			});
		}

		return this.#revisionProgress(revision);
	}

	#revisionProgress(revision: Revision): RevisionProgress {
		const {registry, log, clock} = this.#options;
		return registry.revisionProgress(revision, log.stateMachine().configuration().domains.keys(), clock.now());
	}
}
