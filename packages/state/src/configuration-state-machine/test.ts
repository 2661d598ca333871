import {expect} from 'chai';
import {
	createNodeId, createTeamName,
	type CommandId, type ConfigurationChange, type JobKey, type RequestId, type Revision,
} from '@fireflyglade/model';
import {decodeCommand} from '../decode-command/index.js';
import {encodeCommand} from '../encode-command/index.js';
import {StateFormatError} from '../errors/index.js';
import type {
	ClaimOutcome, ClaimRequest, ClaimResult, Command, CommandResult,
} from '../types.js';
import {ConfigurationStateMachine} from './index.js';

const team = createTeamName('fell-council');
const job = 'order-7' as JobKey;

function createTeam(name: string): ConfigurationChange {
	return {kind: 'create-team', team: {name: createTeamName(name), ratePerSecond: 20, burst: 10}};
}

function change(commandId: string, requested: ConfigurationChange, expectedRevision?: number): Command {
	return {
		kind: 'change', commandId: commandId as CommandId, change: requested, expectedRevision: expectedRevision as Revision | undefined, operator: 'anna', at: 1000,
	};
}

function claim(requestId: string, fields: Partial<ClaimRequest> = {}): ClaimRequest {
	return {
		team, job, requestId: requestId as RequestId, gate: createNodeId('gate-1'), gateIncarnation: 'first', fingerprint: 'one', ...fields,
	};
}

function begin(machine: ConfigurationStateMachine, requested: ClaimRequest, at = 1000): ClaimResult {
	const result = machine.apply({kind: 'begin-claim', claim: requested, at});
	if (result.kind !== 'claim') {
		throw new TypeError('the result is not a claim result');
	}

	return result.result;
}

function finish(machine: ConfigurationStateMachine, requestId: string, outcome: ClaimOutcome, at = 1000): CommandResult {
	return machine.apply({
		kind: 'finish-claim', team, job, requestId: requestId as RequestId, outcome, at,
	});
}

function outcomeWithBody(length: number): ClaimOutcome {
	return {kind: 'answered', answer: {status: 201, headers: [], body: new Uint8Array(length)}};
}

describe('ConfigurationStateMachine', () => {
	// Guards against: a restarted node uses an upstream that has left.
	it('keeps the latest departure of each instance at an address, also after a restore from a snapshot', () => {
		const machine = new ConfigurationStateMachine({departureRetentionMilliseconds: 5000});
		const record = (instance: string, bornAt: number, at: number, address = '10.0.0.1:80'): void => {
			machine.apply({kind: 'record-departure', departure: {address, instance, bornAt}, at});
		};

		record('i-1', 100, 0);
		record('i-2', 300, 1000);
		record('i-2', 200, 2000);
		record('i-3', 400, 2000, '10.0.0.2:80');
		const restored = ConfigurationStateMachine.restore(machine.save(), {departureRetentionMilliseconds: 5000});
		const address = '10.0.0.1:80';
		expect(restored.departuresAt(address)).to.deep.equal([{address, instance: 'i-1', bornAt: 100}, {address, instance: 'i-2', bornAt: 300}]);
		restored.apply({kind: 'record-departure', departure: {address: '10.0.0.2:80', instance: 'i-4', bornAt: 500}, at: 6500});
		expect(restored.departuresAt(address)).to.deep.equal([]);
		expect(restored.departuresAt('10.0.0.2:80')).to.have.length(2);
	});

	it('returns the first result for a resend, also after a restore from a snapshot', () => {
		const machine = new ConfigurationStateMachine();
		const first = machine.apply(change('c1', createTeam('north')));
		machine.apply(change('c2', createTeam('south')));
		const restored = ConfigurationStateMachine.restore(machine.save());
		expect(first).to.deep.equal({kind: 'changed', revision: 1});
		expect(restored.apply(change('c1', createTeam('north')))).to.deep.equal(first);
		expect(restored.configuration()).to.deep.equal(machine.configuration());
		expect(restored.configuration().revision).to.equal(2);
	});

	it('returns the refusal again for a resend of a refused command, although it would be accepted now', () => {
		const machine = new ConfigurationStateMachine();
		const deletion: ConfigurationChange = {kind: 'delete-team', name: createTeamName('north')};
		const refused = machine.apply(change('c1', deletion));
		machine.apply(change('c2', createTeam('north')));
		expect(machine.apply(change('c1', deletion))).to.deep.equal(refused);
		expect(machine.configuration().teams.size).to.equal(1);
	});

	it('refuses a command id that was used for another change', () => {
		const machine = new ConfigurationStateMachine();
		machine.apply(change('c1', createTeam('north')));
		expect(machine.apply(change('c1', createTeam('south')))).to.have.nested.property('refusal.kind', 'invalid');
	});

	it('identifies a resend by the digest of its statement, even if the change differs', () => {
		const machine = new ConfigurationStateMachine();
		const first = machine.apply({...change('c1', createTeam('north')), requestDigest: 'statement'} as Command);
		expect(machine.apply({...change('c1', createTeam('south')), requestDigest: 'statement'} as Command)).to.deep.equal(first);
		expect(machine.apply({...change('c1', createTeam('south')), requestDigest: 'other'} as Command)).to.have.nested.property('refusal.kind', 'invalid');
	});

	it('accepts the first of two changes that expect the same revision, and reports it in the conflict of the other', () => {
		const machine = new ConfigurationStateMachine();
		machine.apply(change('c1', createTeam('north'), 0));
		const result = machine.apply(change('c2', createTeam('south'), 0));
		expect(result).to.have.nested.property('refusal.kind', 'revision-conflict');
		expect(result).to.have.nested.property('refusal.winner.change.team.name', 'north');
		expect(result).to.have.nested.property('refusal.winner.operator', 'anna');
	});

	it('returns the changes after a revision while they are retained', () => {
		const machine = new ConfigurationStateMachine({maximumRetainedChanges: 2});
		for (let number = 1; number <= 7; number++) {
			machine.apply(change(`c${number}`, createTeam(`team-${number}`)));
		}

		expect(machine.changesAfter(5 as Revision)).to.have.length(2);
		expect(machine.changesAfter(7 as Revision)).to.deep.equal([]);
		expect(machine.changesAfter(0 as Revision)).to.equal(undefined);
		expect(machine.changesAfter(8 as Revision)).to.equal(undefined);
	});

	it('does not modify a configuration that it returned before', () => {
		const machine = new ConfigurationStateMachine();
		machine.apply(change('c1', createTeam('north')));
		const before = machine.configuration();
		machine.apply(change('c2', {kind: 'delete-team', name: createTeamName('north')}));
		expect([before.revision, before.teams.size]).to.deep.equal([1, 1]);
		expect([machine.configuration().revision, machine.configuration().teams.size]).to.deep.equal([2, 0]);
		expect(machine.configuration().routes).to.equal(before.routes);
	});

	it('drops the oldest results above the limit', () => {
		const machine = new ConfigurationStateMachine({maximumRetainedResults: 1});
		machine.apply(change('c1', createTeam('north')));
		machine.apply(change('c2', createTeam('south')));
		expect(machine.resultOf('c1' as CommandId)).to.equal(undefined);
		expect(machine.resultOf('c2' as CommandId)).to.not.equal(undefined);
	});

	it('throws a StateFormatError for corrupt saved states and commands', () => {
		expect(() => ConfigurationStateMachine.restore(new Uint8Array([9, 1]))).to.throw(StateFormatError);
		expect(() => decodeCommand(new Uint8Array([1, 0xC1]))).to.throw(StateFormatError);
		expect(() => decodeCommand(new Uint8Array())).to.throw(StateFormatError);
	});

	it('decodes each command as it was encoded', () => {
		const commands: Command[] = [
			change('c1', createTeam('north'), 4),
			{kind: 'begin-claim', claim: claim('r1'), at: 1.7e12},
			{
				kind: 'finish-claim', team, job, requestId: 'r1' as RequestId, outcome: outcomeWithBody(3), at: 5,
			},
		];
		for (const command of commands) {
			const read = decodeCommand(encodeCommand(command));
			expect(encodeCommand(read)).to.deep.equal(encodeCommand(command));
			expect(read.at).to.equal(command.at);
		}
	});
});

describe('claims of ConfigurationStateMachine', () => {
	it('grants a job once, and again only to a resend by the same process of the same gate', () => {
		const machine = new ConfigurationStateMachine();
		expect(begin(machine, claim('r1'))).to.deep.equal({kind: 'granted'});
		expect(begin(machine, claim('r1'))).to.deep.equal({kind: 'granted'});
		expect(begin(machine, claim('r2'))).to.deep.equal({kind: 'running'});
		expect(begin(machine, claim('r1', {gate: createNodeId('gate-2')}))).to.deep.equal({kind: 'running'});
		expect(begin(machine, claim('r1', {gateIncarnation: 'second'}))).to.deep.equal({kind: 'running'});
		expect(begin(machine, claim('r1', {fingerprint: 'two'}))).to.deep.equal({kind: 'mismatch'});
		expect(begin(machine, claim('r1', {team: createTeamName('other')}))).to.deep.equal({kind: 'granted'});
	});

	it('returns the stored response for every resend, also after a restore from a snapshot', () => {
		const machine = new ConfigurationStateMachine();
		begin(machine, claim('r1'));
		finish(machine, 'r1', {kind: 'answered', answer: {status: 201, headers: [['location', '/orders/7']], body: new Uint8Array([1, 2])}});
		const restored = ConfigurationStateMachine.restore(machine.save());
		for (const each of [machine, restored]) {
			const result = begin(each, claim('r9', {gate: createNodeId('gate-2')}));
			expect(result).to.have.nested.property('answer.status', 201);
			expect(result).to.have.nested.property('answer.headers').that.deep.equals([['location', '/orders/7']]);
			expect(result.kind === 'answered' && [...result.answer.body]).to.deep.equal([1, 2]);
		}
	});

	it('frees a job that did not run, but only if the request that holds the claim reports it', () => {
		const machine = new ConfigurationStateMachine();
		begin(machine, claim('r1'));
		finish(machine, 'r2', {kind: 'not-run'});
		expect(begin(machine, claim('r2'))).to.deep.equal({kind: 'running'});
		finish(machine, 'r1', {kind: 'not-run'});
		expect(begin(machine, claim('r2'))).to.deep.equal({kind: 'granted'});
	});

	it('never frees a job whose outcome was reported as unknown, but stores its late response', () => {
		const machine = new ConfigurationStateMachine();
		begin(machine, claim('r1'));
		finish(machine, 'r1', {kind: 'unknown'});
		finish(machine, 'r1', {kind: 'not-run'});
		expect(begin(machine, claim('r2'))).to.deep.equal({kind: 'outcome-unknown'});
		finish(machine, 'r1', outcomeWithBody(1));
		expect(begin(machine, claim('r2'))).to.have.property('kind', 'answered');
	});

	it('drops the oldest responses above the limit in bytes, and reports them as dropped', () => {
		const machine = new ConfigurationStateMachine({maximumTotalResponseBytes: 100, maximumResponseBytes: 80});
		const results: ClaimResult[] = [];
		for (const name of ['a', 'b', 'c']) {
			const requested = claim(name, {job: name as JobKey});
			begin(machine, requested);
			machine.apply({
				kind: 'finish-claim', team, job: requested.job, requestId: requested.requestId, outcome: outcomeWithBody(name === 'c' ? 81 : 60), at: 1000,
			});
		}

		for (const name of ['a', 'b', 'c']) {
			results.push(begin(machine, claim('later', {job: name as JobKey})));
		}

		expect(results.map(result => result.kind)).to.deep.equal(['answer-dropped', 'answered', 'answer-dropped']);
		expect(machine.sizes().storedResponseBytes).to.equal(60);
	});

	it('refuses new jobs while the table is full, and grants them once old claims have expired', () => {
		const machine = new ConfigurationStateMachine({maximumClaims: 1, claimRetentionMilliseconds: 50_000});
		begin(machine, claim('r1'), 0);
		const other = claim('r2', {job: 'other' as JobKey});
		expect(begin(machine, other, 50_000)).to.deep.equal({kind: 'table-full'});
		expect(begin(machine, other, 50_001)).to.deep.equal({kind: 'granted'});
	});

	it('reports an unknown outcome once a job has run longer than the outcome timeout', () => {
		const machine = new ConfigurationStateMachine({outcomeTimeoutMilliseconds: 30_000});
		begin(machine, claim('r1'), 0);
		expect(begin(machine, claim('r2'), 30_000)).to.deep.equal({kind: 'running'});
		expect(begin(machine, claim('r2'), 30_001)).to.deep.equal({kind: 'outcome-unknown'});
	});

	it('does not expire a claim early when the clock of the leader jumps by days and back', () => {
		const machine = new ConfigurationStateMachine({claimRetentionMilliseconds: 86_400_000});
		begin(machine, claim('r1'), 1e9);
		expect(begin(machine, claim('r2'), 9e9)).to.deep.equal({kind: 'running'});
		expect(begin(machine, claim('r2'), 1e9)).to.deep.equal({kind: 'running'});
		expect(begin(machine, claim('r2'), 9e9)).to.deep.equal({kind: 'running'});
	});
});
