/**
A control process. It runs a member of the replicated log with its state machine,
executes the statements of operators, answers the reports of nodes, and records the
claims of gates and the departures of upstreams.
*/

import {
	decodeMessage, loadStoredState, RaftConsensus, type ConsensusMessage,
} from '@fireflyglade/consensus';
import {
	InvalidInputError, SystemClock, type Clock, type FailureDomain, type MemberId, type Timer,
} from '@fireflyglade/model';
import {ConfigurationStateMachine, decodeCommand} from '@fireflyglade/state';
import {
	NodeFileSystem, openLogStorage, SpaceWaitingFileSystem, type FileSystem,
} from '@fireflyglade/storage';
import {
	claimMethod, createProcessResources, createRpcClient, createRpcServer, encodeMessage, findDeparturesMethod, recordDepartureMethod, reportMethod,
	type ClaimCall, type ClaimCallResponse, type FleetCredentials, type ProcessResources, type RpcClient, type RpcServer,
} from '@fireflyglade/transport';
import {
	changeMembersMethod, deliverMethod, introduceMethod, proposeMethod, shareMethod, teamCountsMethod,
} from '../_lib/control-rpc.js';
import {CommandProposer} from '../command-proposer/index.js';
import {DepartureService} from '../departure-service/index.js';
import {NoQuorumError, type StorageFailedError} from '../errors/index.js';
import {FleetReconciler, type FleetReconcilerOptions} from '../fleet-reconciler/index.js';
import {FleetRegistry} from '../fleet-registry/index.js';
import {MemberChannel} from '../member-channel/index.js';
import {MemberDirectory} from '../member-directory/index.js';
import {MembershipService} from '../membership-service/index.js';
import {OperatorListener} from '../operator-listener/index.js';
import {QueryService} from '../query-service/index.js';
import {ReplacementService} from '../replacement-service/index.js';
import {ReplicatedLog} from '../replicated-log/index.js';
import {ReportService} from '../report-service/index.js';
import {StatementService, type Operator} from '../statement-service/index.js';

/** Settings and callbacks of a control process. */
export type ControlProcessOptions = {
	readonly member: MemberId;
	readonly dataFolder: string;
	/** True if no other process can open the data folder; the folder is then not locked. */
	readonly hasExclusiveAccess?: boolean;
	/** The file system of the data folder; that of the operating system if absent. */
	readonly fileSystem?: FileSystem;
	/** Called with true when the disk turns out to be full, and with false once it has space again. The process keeps running meanwhile. */
	readonly onDiskFull?: (isFull: boolean) => void;
	readonly operatorAddress: string;
	readonly rpcAddress: string;
	/** RPC address of each member, including this one. The process modifies the map. */
	readonly members: Map<MemberId, string>;
	/** RPC addresses of members whose ids are not known. */
	readonly seeds?: readonly string[];
	/** Number of control VMs that may fail at the same time. If set, the process repairs the membership and sets the failure domains without an operator. */
	readonly toleratedVmFailures?: number;
	/** Called after each such change, and for each malformed message of another process, to log it. */
	readonly onStep?: FleetReconcilerOptions['onStep'];
	/** True if the replicated log already exists and this process waits until it is added as a member. */
	readonly join?: boolean;
	readonly operators: readonly Operator[];
	/** What the listeners of the process share; created from what the system tells if absent. */
	readonly resources?: ProcessResources;
	readonly credentials: FleetCredentials;
	/** Failure domain of the VM; nodes of the same domain prefer this process. */
	readonly domain?: FailureDomain;
	/** Seed of the random election timeouts. */
	readonly randomSeed: number;
	readonly clock?: Clock;
	/** Called if the storage fails; the process must then exit. */
	readonly onStorageFailure: (error: StorageFailedError) => void;
};

type ControlDependencies = {
	readonly clock: Clock;
	readonly client: RpcClient;
	readonly log: ReplicatedLog;
	readonly directory: MemberDirectory;
	readonly fileSystem: SpaceWaitingFileSystem;
};

const electionTimeoutMilliseconds = 400;
const heartbeatIntervalMilliseconds = 80;
const staleNodeRemovalIntervalMilliseconds = 60_000;
/** Interval between introductions if the membership is repaired without an operator, which needs recent contact times. */
const reconcilerIntroductionIntervalMilliseconds = 500;

/** A running control process. */
export class ControlProcess {
	/**
	Opens the data folder and starts to listen.

	@throws {FireflygladeError} The data folder is damaged or in use, or the RPC address can't be listened on.
	@throws {Error} The operator address can't be listened on.
	*/
	static async start(options: ControlProcessOptions): Promise<ControlProcess> {
		const control = await ControlProcess.#open(options);
		await control.#listen(options);
		return control;
	}

	static async #open(options: ControlProcessOptions): Promise<ControlProcess> {
		const clock = options.clock ?? new SystemClock();
		const client = createRpcClient(options.credentials, clock, createMessageErrorLog(options));
		const {onDiskFull} = options;
		const fileSystem = new SpaceWaitingFileSystem(options.fileSystem ?? new NodeFileSystem(), {clock, ...(onDiskFull === undefined ? {} : {onDiskFull})});
		const storage = await openLogStorage(options.dataFolder, {fileSystem, hasExclusiveAccess: options.hasExclusiveAccess ?? false});
		const stored = await loadStoredState(storage);
		const consensus = new RaftConsensus({
			member: options.member,
			stored,
			...(options.join === true ? {} : {initialMembers: {voters: [...options.members.keys()], learners: []}}),
			randomSeed: options.randomSeed,
			now: clock.now(),
			electionTimeoutMilliseconds,
			heartbeatIntervalMilliseconds,
		});
		const directory = new MemberDirectory({
			member: options.member,
			addresses: options.members,
			...(options.seeds === undefined ? {} : {seeds: options.seeds}),
			...(options.toleratedVmFailures === undefined ? {} : {introductionIntervalMilliseconds: reconcilerIntroductionIntervalMilliseconds}),
			client,
			clock,
		});
		const channel = new MemberChannel(client, directory.addresses);
		const {snapshot} = stored;
		const log = new ReplicatedLog({
			consensus,
			storage,
			clock,
			stateMachine: snapshot === undefined ? new ConfigurationStateMachine() : ConfigurationStateMachine.restore(snapshot.data),
			appliedIndex: snapshot?.lastIndex ?? 0,
			snapshotBytes: snapshot?.data.byteLength ?? 0,
			send(message) {
				channel.send(message);
			},
			onStorageFailure: options.onStorageFailure,
		});
		return new ControlProcess(options, {
			clock, client, log, directory, fileSystem,
		});
	}

	readonly #clock: Clock;
	readonly #client: RpcClient;
	readonly #server: RpcServer;
	readonly #log: ReplicatedLog;
	readonly #fileSystem: SpaceWaitingFileSystem;
	readonly #registry = new FleetRegistry();
	readonly #reports: ReportService;
	readonly #proposer: CommandProposer;
	readonly #departures: DepartureService;
	readonly #directory: MemberDirectory;
	readonly #membership: MembershipService;
	readonly #operatorListener: OperatorListener;
	readonly #replacements: ReplacementService;
	readonly #reconciler: FleetReconciler | undefined;
	readonly #member: MemberId;
	#operatorUrl = '';
	#rpcAddress = '';
	#isClosed = false;
	#staleNodeTimer: Timer | undefined;

	private constructor(options: ControlProcessOptions, dependencies: ControlDependencies) {
		const {
			clock, client, log, directory, fileSystem,
		} = dependencies;
		this.#fileSystem = fileSystem;
		this.#clock = clock;
		this.#client = client;
		this.#log = log;
		this.#directory = directory;
		const resources = options.resources ?? createProcessResources();
		this.#server = createRpcServer(options.credentials, clock, {onMessageError: createMessageErrorLog(options), resources});
		this.#reports = new ReportService({
			log,
			registry: this.#registry,
			clock,
			client,
			otherMemberAddresses: () => directory.otherAddresses(),
			...(options.domain === undefined ? {} : {domain: options.domain}),
			...(options.toleratedVmFailures === undefined ? {} : {allMemberAddresses: () => [...new Set(directory.addresses.values())]}),
		});
		this.#proposer = new CommandProposer({
			log, client, addresses: directory.addresses, clock,
		});
		this.#departures = new DepartureService({
			log, proposer: this.#proposer, clock, confirmCurrent: async () => this.#reports.confirmCurrent(),
		});
		this.#membership = new MembershipService({
			log, directory, client, clock,
		});
		this.#member = options.member;
		this.#replacements = new ReplacementService({log, proposer: this.#proposer, clock});
		this.#reconciler = options.toleratedVmFailures === undefined
			? undefined
			: new FleetReconciler({
				log, directory, members: this.#membership, registry: this.#registry, clock, toleratedVmFailures: options.toleratedVmFailures,
				...(options.onStep === undefined ? {} : {onStep: options.onStep}),
			});
		const queries = new QueryService({
			log, registry: this.#registry, clock, fetchTeamCounts: async () => this.#reports.fetchTeamCounts(),
		});
		this.#operatorListener = new OperatorListener({
			statements: new StatementService({
				log, proposer: this.#proposer, registry: this.#registry, members: this.#membership, queries, clock,
			}),
			operators: options.operators,
			resources,
			isReady: () => this.#reports.hasQuorum(),
		});
	}

	/** Base URL of the listener for operators. */
	get operatorUrl(): string {
		return this.#operatorUrl;
	}

	/** `host:port` of the RPC listener. */
	get rpcAddress(): string {
		return this.#rpcAddress;
	}

	/** Replaces the RPC addresses of members whose ids are not known. */
	setSeeds(seeds: readonly string[]): void {
		this.#directory.setSeeds(seeds);
	}

	/** Replaces and reads whole configurations. */
	get replacements(): ReplacementService {
		return this.#replacements;
	}

	/** The replicated log, which gives access to the state machine and the consensus status. */
	get log(): ReplicatedLog {
		return this.#log;
	}

	/**
	Answers all pending requests, starts a leadership transfer, closes the data folder and stops listening.

	@throws {Error} The data folder could not be closed; the process has stopped listening nevertheless.
	*/
	async close(): Promise<void> {
		if (this.#isClosed) {
			return;
		}

		this.#isClosed = true;
		this.#staleNodeTimer?.cancel();
		this.#reconciler?.close();
		this.#directory.close();
		this.#reports.close();
		await this.#operatorListener.close();
		this.#fileSystem.stopWaiting();
		try {
			await this.#log.close();
		} finally {
			await this.#server.close();
			this.#client.close();
		}
	}

	async #listen(options: ControlProcessOptions): Promise<void> {
		this.#server.handle(deliverMethod, async ({messages}) => {
			for (const message of messages) {
				this.#receive(decodeMessage(message));
			}

			return {};
		});
		this.#server.handle(proposeMethod, async request => this.#proposer.answer(request));
		this.#server.handle(introduceMethod, async message => this.#directory.exchange(message));
		this.#server.handle(changeMembersMethod, async request => this.#membership.answer(request));
		this.#server.handle(shareMethod, async request => this.#reports.receiveSharedReports(request));
		this.#server.handle(teamCountsMethod, async () => ({teams: this.#registry.directTeamRequestCounts(this.#clock.now())}));
		this.#server.handle(reportMethod, async report => this.#reports.answer(report));
		this.#server.handle(claimMethod, async call => this.#claim(call));
		this.#server.handle(recordDepartureMethod, async call => this.#departures.record(call));
		this.#server.handle(findDeparturesMethod, async question => this.#departures.answer(question));
		this.#rpcAddress = await this.#server.listen(options.rpcAddress);
		this.#operatorUrl = await this.#operatorListener.listen(options.operatorAddress);
		this.#directory.start(this.#rpcAddress);
		this.#log.start();
		this.#reports.start();
		this.#reconciler?.start();
		this.#scheduleStaleNodeRemoval();
	}

	/** Drops messages for other members: a member that replaces one with a lost disk has the same address and receives the messages for its predecessor. */
	#receive(message: ConsensusMessage): void {
		if (message.to === this.#member) {
			this.#log.receive(message);
		}
	}

	async #claim(call: ClaimCall): Promise<ClaimCallResponse> {
		const command = decodeCommand(call.command);
		if (command.kind !== 'begin-claim' && command.kind !== 'finish-claim') {
			throw new InvalidInputError('a gate may only begin and finish claims');
		}

		try {
			const result = await this.#proposer.submit({...command, at: this.#clock.wallNow()});
			return {kind: 'result', result: encodeMessage(result)};
		} catch (error: unknown) {
			if (error instanceof NoQuorumError) {
				return {kind: 'no-quorum'};
			}

			throw error;
		}
	}

	#scheduleStaleNodeRemoval(): void {
		this.#staleNodeTimer = this.#clock.startTimer(staleNodeRemovalIntervalMilliseconds, () => {
			this.#registry.removeStaleNodes(this.#clock.now());
			this.#scheduleStaleNodeRemoval();
		});
	}
}

function createMessageErrorLog({onStep}: ControlProcessOptions): (error: Error) => void {
	return error => {
		onStep?.('message-rejected', {reason: error.message, kind: error.name});
	};
}
