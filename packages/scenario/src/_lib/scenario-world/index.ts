/**
Runs the parts of a scenario on virtual time: the gates, an entry side for each
failure domain, the configuration, callers and faults.
*/

import {parseStatement, toConfigurationChange} from '@fireflyglade/language';
import {
	createFailureDomain, createNodeId, createRouteId, createServiceName, createUpstreamId, FireflygladeError, ManualClock, SeededRandom, UnreachableError,
	type CommandId, type Configuration, type FailureDomain, type FencingNumber, type JobKey, type KeyDigest, type KeyId, type NodeId, type RequestId, type UpstreamId,
} from '@fireflyglade/model';
import type {HolderView, RateMessage} from '@fireflyglade/rates';
import type {StateMachine} from '@fireflyglade/state';
import type {ScenarioMechanisms, ScenarioRequest} from '../../run-scenario/types.js';
import type {
	Scenario, ScenarioCaller, ScenarioFault, ScenarioUpstream,
} from '../../scenario.types.js';
import {ScenarioEntry} from '../scenario-entry/index.js';
import {ScenarioGate} from '../scenario-gate/index.js';

const stepMilliseconds = 5;
const leaseMilliseconds = 2000;
const messageDelayMilliseconds = 2;
const resendMilliseconds = 100;
const resendLimit = 3;
const millisecondsInSecond = 1000;
const fencing = 1 as FencingNumber;

/** A fleet on virtual time. */
export class ScenarioWorld {
	readonly clock = new ManualClock();
	readonly requests: ScenarioRequest[] = [];
	readonly refusedStatements: string[] = [];
	readonly gates = new Map<UpstreamId, ScenarioGate>();
	readonly #scenario: Scenario;
	readonly #mechanisms: ScenarioMechanisms;
	readonly #random: SeededRandom;
	readonly #state: StateMachine;
	readonly #entries = new Map<FailureDomain, ScenarioEntry>();
	readonly #cut = new Set<FailureDomain>();
	#commands = 0;
	#keys = 0;

	constructor(scenario: Scenario, mechanisms: ScenarioMechanisms, seed: number) {
		this.#scenario = scenario;
		this.#mechanisms = mechanisms;
		this.#random = new SeededRandom(seed);
		this.#state = mechanisms.createStateMachine();
		for (const upstream of scenario.upstreams) {
			this.#addGate(upstream);
		}

		for (const {target} of this.gates.values()) {
			this.#addEntry(target.domain);
		}

		for (const domain of this.#entries.keys()) {
			this.#execute(`set domain ${domain} weight 1 witnesses ${domain}-1, ${domain}-2, ${domain}-3`);
		}
	}

	/** Runs the scenario to its end. */
	run(): void {
		for (const {at, fault} of this.#scenario.events) {
			this.clock.startTimer(at, () => {
				this.#apply(fault);
			});
		}

		this.#step();
		for (const caller of this.#scenario.callers) {
			this.#schedule(caller, caller.from);
		}

		this.clock.advance(this.#scenario.end);
	}

	#addGate({node, service, domain, slots, serviceMilliseconds}: ScenarioUpstream): void {
		const nodeId = createNodeId(node);
		const upstream = createUpstreamId(createServiceName(service), nodeId);
		this.gates.set(upstream, new ScenarioGate({
			clock: this.clock,
			serviceMilliseconds,
			createAdmission: (size, now, isCold) => this.#mechanisms.createAdmission({slots: size, now, isCold}),
			target: {
				upstream, service: createServiceName(service), node: nodeId, domain: createFailureDomain(domain), gateUrl: `http://${node}`, rpcAddress: node, available: true, slots,
			},
		}));
	}

	#addEntry(domain: FailureDomain): void {
		if (this.#entries.has(domain)) {
			return;
		}

		this.#entries.set(domain, new ScenarioEntry({
			clock: this.clock,
			random: this.#random,
			domain,
			node: nodeOf(domain),
			mechanisms: this.#mechanisms,
			findGate: upstream => {
				const gate = this.gates.get(upstream)!;
				return this.#isConnected(domain, gate.target.domain) ? gate : undefined;
			},
			findState: () => this.#cut.has(domain) ? undefined : this.#state,
			sendRates: message => {
				this.#deliver(message, domain);
			},
		}));
	}

	#isConnected(first: FailureDomain, second: FailureDomain): boolean {
		return first === second || (!this.#cut.has(first) && !this.#cut.has(second));
	}

	#deliver(message: RateMessage, from: FailureDomain): void {
		this.clock.startTimer(messageDelayMilliseconds, () => {
			for (const [domain, entry] of this.#entries) {
				if (nodeOf(domain) === message.to && this.#isConnected(from, domain)) {
					entry.takeRates(entry.keeper.receive(message, this.clock.now()));
				}
			}
		});
	}

	/** Moves everything on that moves by itself, again and again. */
	#step(): void {
		const now = this.clock.now();
		const targets = [...this.gates.values()].map(gate => ({
			...gate.target, available: !gate.isLeaving && gate.silence(now) < this.#mechanisms.announcementTimeoutMilliseconds,
		}));
		for (const gate of this.gates.values()) {
			gate.tick();
		}

		for (const [domain, entry] of this.#entries) {
			entry.routing.setTargets(targets, now);
			this.#renewLease(domain, entry);
			entry.takeRates(entry.keeper.tick(now));
		}

		this.clock.startTimer(stepMilliseconds, () => {
			this.#step();
		});
	}

	#renewLease(domain: FailureDomain, entry: ScenarioEntry): void {
		const now = this.clock.now();
		const {revision} = entry.configuration;
		const holders = new Map<FailureDomain, HolderView>();
		for (const [other, {configuration}] of this.#entries) {
			if (this.#isConnected(domain, other)) {
				holders.set(other, {holder: nodeOf(other), fencing, revision: configuration.revision});
			}
		}

		entry.takeRates(entry.keeper.setOwnLease({
			fencing, until: now + leaseMilliseconds, revisionAtStart: revision, majorityRevision: revision,
		}, now));
		entry.takeRates(entry.keeper.setHolders(holders, now));
	}

	#apply(fault: ScenarioFault): void {
		switch (fault.kind) {
			case 'slow': {
				this.#gateOf(fault.node).serviceMilliseconds = fault.serviceMilliseconds;
				return;
			}

			case 'crash': {
				this.#gateOf(fault.node).crash();
				return;
			}

			case 'restart': {
				this.#gateOf(fault.node).restart();
				return;
			}

			case 'leave': {
				this.#gateOf(fault.node).leave();
				return;
			}

			case 'cut': {
				this.#cut.add(createFailureDomain(fault.domain));
				return;
			}

			case 'heal': {
				this.#cut.clear();
				this.#feed(this.#state.configuration());
				return;
			}

			case 'statement': {
				this.#execute(fault.text);
				return;
			}

			default: {
				throw new UnreachableError(fault);
			}
		}
	}

	#gateOf(node: string): ScenarioGate {
		return [...this.gates.values()].find(gate => gate.target.node === node)!;
	}

	#execute(text: string): void {
		try {
			const statement = parseStatement(text);
			if (statement.kind !== 'change') {
				return;
			}

			const change = toConfigurationChange(statement.change, {
				configuration: this.#state.configuration(),
				createKey: () => {
					this.#keys += 1;
					return {id: `key-${this.#keys}` as KeyId, digest: String(this.#keys).padStart(64, '0') as KeyDigest};
				},
			});
			this.#commands += 1;
			const result = this.#state.apply({
				kind: 'change', commandId: `command-${this.#commands}` as CommandId, change, operator: 'scenario', at: this.clock.now(),
				...(statement.expectedRevision === undefined ? {} : {expectedRevision: statement.expectedRevision}),
			});
			if (result.kind === 'refused') {
				this.refusedStatements.push(`${text}: ${result.refusal.kind}`);
			}
		} catch (error) {
			if (!(error instanceof FireflygladeError)) {
				throw error;
			}

			this.refusedStatements.push(`${text}: ${error.message}`);
		}

		this.#feed(this.#state.configuration());
	}

	/** Brings a configuration to every domain that is connected once it arrives. */
	#feed(configuration: Configuration): void {
		if (this.clock.now() === 0) {
			this.#putInForce(configuration);
			return;
		}

		this.clock.startTimer(this.#mechanisms.feedDelayMilliseconds, () => {
			this.#putInForce(configuration);
		});
	}

	#putInForce(configuration: Configuration): void {
		for (const [domain, entry] of this.#entries) {
			if (!this.#cut.has(domain) && entry.configuration.revision < configuration.revision) {
				entry.setConfiguration(configuration);
			}
		}
	}

	#schedule(caller: ScenarioCaller, at: number): void {
		if (at >= caller.until || at >= this.#scenario.end) {
			return;
		}

		this.clock.startTimer(at - this.clock.now(), () => {
			this.#send(caller, `job-${this.requests.length}` as JobKey, 0);
			this.#schedule(caller, at + (millisecondsInSecond / caller.ratePerSecond));
		});
	}

	#send(caller: ScenarioCaller, job: JobKey, resends: number): void {
		const entry = this.#entries.get(createFailureDomain(caller.domain));
		if (entry === undefined) {
			return;
		}

		const {configuration} = entry;
		const team = caller.key === undefined ? undefined : configuration.keys.get(caller.key as KeyId)?.team;
		const request: ScenarioRequest = {
			id: `request-${this.requests.length}` as RequestId, job, caller: caller.name, at: this.clock.now(), starts: [], isAdmitted: false, result: 'open', ...(team === undefined ? {} : {team}),
		};
		this.requests.push(request);
		entry.accept(request, configuration.routes.get(createRouteId(caller.method, caller.path)), caller.key, caller.jobs);
		if (caller.jobs && resends < resendLimit) {
			this.clock.startTimer(resendMilliseconds, () => {
				this.#send(caller, job, resends + 1);
			});
		}
	}
}

function nodeOf(domain: FailureDomain): NodeId {
	return createNodeId(`${domain}-1`);
}
