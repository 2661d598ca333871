/**
The messages between the bench and the processes that stand for its VMs.
*/

import type {Configuration, Target} from '@fireflyglade/model';

/** How requests are carried. */
export type ControlKind =
	/** A node of fireflyglade. */
	| 'controlled'
	/** Plain random choice, three retries at each hop and no queue limit. */
	| 'uncontrolled';

/** A configuration in a form that can be sent. */
export type SentConfiguration = {
	readonly [Key in keyof Configuration]: Configuration[Key] extends ReadonlyMap<infer Name, infer Value> ? ReadonlyArray<[Name, Value]>
		: Configuration[Key] extends ReadonlySet<infer Value> ? readonly Value[]
			: Configuration[Key];
};

/** What a VM is to run. */
export type VmSettings = {
	readonly control: ControlKind;
	readonly name: string;
	readonly domain: string;
	readonly service: string;
	readonly slots: number;
	readonly serviceMilliseconds: number;
	/** Calls of the upstream to another service, by path. */
	readonly calls: ReadonlyArray<[string, string]>;
	readonly seed: number;
	readonly configuration: SentConfiguration;
};

/** What the bench tells a VM. */
export type VmCommand =
	| {readonly kind: 'start'; readonly settings: VmSettings; readonly targets: readonly VmTarget[]}
	| {readonly kind: 'targets'; readonly targets: readonly VmTarget[]}
	| {readonly kind: 'set-service-time'; readonly milliseconds: number}
	| {readonly kind: 'report'}
	| {readonly kind: 'stop'};

/** A target with the address of the upstream itself, for the fleet without control. */
export type VmTarget = {
	readonly target: Target;
	readonly upstreamUrl: string;
};

/** What a VM tells the bench. */
export type VmNotice =
	| {readonly kind: 'ready'; readonly callersUrl: string}
	| {readonly kind: 'target'; readonly target: VmTarget | undefined}
	| {readonly kind: 'report'; readonly runs: number; readonly cancelled: number}
	| {readonly kind: 'stopped'};
