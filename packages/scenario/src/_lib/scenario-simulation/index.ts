/**
Simulates a scenario on virtual time: the gates, one entry node per failure domain,
the replicated configuration, the callers and the injected faults.
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
import {ScenarioEntryNode} from '../scenario-entry-node/index.js';
import {ScenarioGate} from '../scenario-gate/index.js';

const stepIntervalMilliseconds = 5;
const leaseDurationMilliseconds = 2000;
const messageDelayMilliseconds = 2;
const resendDelayMilliseconds = 100;
const maxResends = 3;
const millisecondsInSecond = 1000;
const fencing = 1 as FencingNumber;

/** Simulation of a fleet on virtual time. */
export class ScenarioSimulation {
	readonly clock = new ManualClock();
	/** Every request that was sent, resends included. */
	readonly requests: ScenarioRequest[] = [];
	/** Operator statements that were refused, with the reason of each. */
	readonly refusedStatements: string[] = [];
	readonly gates = new Map<UpstreamId, ScenarioGate>();
	readonly #scenario: Scenario;
	readonly #mechanisms: ScenarioMechanisms;
	readonly #random: SeededRandom;
	readonly #stateMachine: StateMachine;
	readonly #entryNodes = new Map<FailureDomain, ScenarioEntryNode>();
	/** Failure domains that are partitioned from all others and from the replicated state. */
	readonly #cutDomains = new Set<FailureDomain>();
	#commandCount = 0;
	#issuedKeyCount = 0;

	constructor(scenario: Scenario, mechanisms: ScenarioMechanisms, seed: number) {
		this.#scenario = scenario;
		this.#mechanisms = mechanisms;
		this.#random = new SeededRandom(seed);
		this.#stateMachine = mechanisms.createStateMachine();
		for (const upstream of scenario.upstreams) {
			this.#addGate(upstream);
		}

		for (const {target} of this.gates.values()) {
			this.#addEntryNode(target.domain);
		}

		for (const domain of this.#entryNodes.keys()) {
			this.#executeStatement(`set domain ${domain} weight 1 witnesses ${domain}-1, ${domain}-2, ${domain}-3`);
		}
	}

	/** Runs the scenario from its start to its end. */
	run(): void {
		for (const {at, fault} of this.#scenario.events) {
			this.clock.startTimer(at, () => {
				this.#applyFault(fault);
			});
		}

		this.#runStep();
		for (const caller of this.#scenario.callers) {
			this.#scheduleRequests(caller, caller.from);
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

	#addEntryNode(domain: FailureDomain): void {
		if (this.#entryNodes.has(domain)) {
			return;
		}

		this.#entryNodes.set(domain, new ScenarioEntryNode({
			clock: this.clock,
			random: this.#random,
			domain,
			node: getEntryNodeId(domain),
			mechanisms: this.#mechanisms,
			findGate: upstream => {
				const gate = this.gates.get(upstream)!;
				return this.#isConnected(domain, gate.target.domain) ? gate : undefined;
			},
			findStateMachine: () => this.#cutDomains.has(domain) ? undefined : this.#stateMachine,
			sendRateMessage: message => {
				this.#deliverRateMessage(message, domain);
			},
		}));
	}

	/** Returns whether two failure domains can exchange messages: a domain that is cut off reaches only itself. */
	#isConnected(first: FailureDomain, second: FailureDomain): boolean {
		return first === second || (!this.#cutDomains.has(first) && !this.#cutDomains.has(second));
	}

	#deliverRateMessage(message: RateMessage, from: FailureDomain): void {
		this.clock.startTimer(messageDelayMilliseconds, () => {
			for (const [domain, entryNode] of this.#entryNodes) {
				if (getEntryNodeId(domain) === message.to && this.#isConnected(from, domain)) {
					entryNode.applyRateActions(entryNode.rateLimiter.receive(message, this.clock.now()));
				}
			}
		});
	}

	/** Advances gates, routing, leases and rate limiters, and schedules the next step. */
	#runStep(): void {
		const now = this.clock.now();
		const targets = [...this.gates.values()].map(gate => ({
			...gate.target, available: !gate.isLeaving && gate.getAnnouncementAge(now) < this.#mechanisms.announcementTimeoutMilliseconds,
		}));
		for (const gate of this.gates.values()) {
			gate.tick();
		}

		for (const [domain, entryNode] of this.#entryNodes) {
			entryNode.routing.setTargets(targets, now);
			this.#renewRateLease(domain, entryNode);
			entryNode.applyRateActions(entryNode.rateLimiter.tick(now));
		}

		this.clock.startTimer(stepIntervalMilliseconds, () => {
			this.#runStep();
		});
	}

	/** Renews the rate lease of a domain and passes the lease holders that it can reach to its rate limiter. */
	#renewRateLease(domain: FailureDomain, entryNode: ScenarioEntryNode): void {
		const now = this.clock.now();
		const {revision} = entryNode.configuration;
		const holders = new Map<FailureDomain, HolderView>();
		for (const [other, {configuration}] of this.#entryNodes) {
			if (this.#isConnected(domain, other)) {
				holders.set(other, {holder: getEntryNodeId(other), fencing, revision: configuration.revision});
			}
		}

		entryNode.applyRateActions(entryNode.rateLimiter.setOwnLease({
			fencing, until: now + leaseDurationMilliseconds, revisionAtStart: revision, majorityRevision: revision,
		}, now));
		entryNode.applyRateActions(entryNode.rateLimiter.setHolders(holders, now));
	}

	#applyFault(fault: ScenarioFault): void {
		switch (fault.kind) {
			case 'slow': {
				this.#findGate(fault.node).serviceMilliseconds = fault.serviceMilliseconds;
				return;
			}

			case 'crash': {
				this.#findGate(fault.node).crash();
				return;
			}

			case 'restart': {
				this.#findGate(fault.node).restart();
				return;
			}

			case 'leave': {
				this.#findGate(fault.node).leave();
				return;
			}

			case 'cut': {
				this.#cutDomains.add(createFailureDomain(fault.domain));
				return;
			}

			case 'heal': {
				this.#cutDomains.clear();
				this.#distributeConfiguration(this.#stateMachine.configuration());
				return;
			}

			case 'statement': {
				this.#executeStatement(fault.text);
				return;
			}

			default: {
				throw new UnreachableError(fault);
			}
		}
	}

	#findGate(node: string): ScenarioGate {
		return [...this.gates.values()].find(gate => gate.target.node === node)!;
	}

	/** Executes an operator statement; records it if it is refused. Statements that change nothing are ignored. */
	#executeStatement(text: string): void {
		try {
			const statement = parseStatement(text);
			if (statement.kind !== 'change') {
				return;
			}

			const change = toConfigurationChange(statement.change, {
				configuration: this.#stateMachine.configuration(),
				createKey: () => {
					this.#issuedKeyCount += 1;
					return {id: `key-${this.#issuedKeyCount}` as KeyId, digest: String(this.#issuedKeyCount).padStart(64, '0') as KeyDigest};
				},
			});
			this.#commandCount += 1;
			const result = this.#stateMachine.apply({
				kind: 'change', commandId: `command-${this.#commandCount}` as CommandId, change, operator: 'scenario', at: this.clock.now(),
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

		this.#distributeConfiguration(this.#stateMachine.configuration());
	}

	/** Distributes a configuration after the configuration delay, at virtual time 0 without a delay. */
	#distributeConfiguration(configuration: Configuration): void {
		if (this.clock.now() === 0) {
			this.#applyConfiguration(configuration);
			return;
		}

		this.clock.startTimer(this.#mechanisms.configurationDelayMilliseconds, () => {
			this.#applyConfiguration(configuration);
		});
	}

	/** Applies a configuration at every domain that is not cut off and has an older revision. */
	#applyConfiguration(configuration: Configuration): void {
		for (const [domain, entryNode] of this.#entryNodes) {
			if (!this.#cutDomains.has(domain) && entryNode.configuration.revision < configuration.revision) {
				entryNode.setConfiguration(configuration);
			}
		}
	}

	/** Schedules the next request of a caller, until its window or the scenario ends. */
	#scheduleRequests(caller: ScenarioCaller, at: number): void {
		if (at >= caller.until || at >= this.#scenario.end) {
			return;
		}

		this.clock.startTimer(at - this.clock.now(), () => {
			this.#sendRequest(caller, `job-${this.requests.length}` as JobKey, 0);
			this.#scheduleRequests(caller, at + (millisecondsInSecond / caller.ratePerSecond));
		});
	}

	/** Sends a request, and sends it again under the same job key if the caller uses job keys. */
	#sendRequest(caller: ScenarioCaller, job: JobKey, resendCount: number): void {
		const entryNode = this.#entryNodes.get(createFailureDomain(caller.domain));
		if (entryNode === undefined) {
			return;
		}

		const {configuration} = entryNode;
		const team = caller.key === undefined ? undefined : configuration.keys.get(caller.key as KeyId)?.team;
		const request: ScenarioRequest = {
			id: `request-${this.requests.length}` as RequestId, job, caller: caller.name, at: this.clock.now(), starts: [], isAdmitted: false, result: 'open', ...(team === undefined ? {} : {team}),
		};
		this.requests.push(request);
		entryNode.accept(request, configuration.routes.get(createRouteId(caller.method, caller.path)), caller.key, caller.jobs);
		if (caller.jobs && resendCount < maxResends) {
			this.clock.startTimer(resendDelayMilliseconds, () => {
				this.#sendRequest(caller, job, resendCount + 1);
			});
		}
	}
}

/** Returns the id of the entry node of a failure domain. */
function getEntryNodeId(domain: FailureDomain): NodeId {
	return createNodeId(`${domain}-1`);
}
