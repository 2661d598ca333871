/**
The IPC messages between the bench process and the processes of its VMs.
*/

import type {Configuration, Target} from '@fireflyglade/model';

/** Whether a VM runs a fireflyglade node or the baseline. */
export type ControlKind =
	/** A fireflyglade node. */
	| 'controlled'
	/** A proxy with random load balancing, three retries at each hop and no queue limit. */
	| 'uncontrolled';

/** A configuration in a form that can be sent over IPC: maps become arrays of entries, and sets become arrays. */
export type SerializedConfiguration = {
	readonly [Key in keyof Configuration]: Configuration[Key] extends ReadonlyMap<infer Name, infer Value> ? ReadonlyArray<[Name, Value]>
		: Configuration[Key] extends ReadonlySet<infer Value> ? readonly Value[]
			: Configuration[Key];
};

/** The settings of one VM. */
export type VmSettings = {
	readonly control: ControlKind;
	readonly name: string;
	readonly domain: string;
	readonly service: string;
	readonly slots: number;
	readonly serviceMilliseconds: number;
	/** Pairs of a path of the upstream and the path of another service that it calls. */
	readonly calls: ReadonlyArray<[string, string]>;
	readonly seed: number;
	readonly configuration: SerializedConfiguration;
};

/** A message from the bench process to a VM. */
export type VmCommand =
	| {readonly kind: 'start'; readonly settings: VmSettings; readonly targets: readonly VmTarget[]}
	| {readonly kind: 'targets'; readonly targets: readonly VmTarget[]}
	| {readonly kind: 'set-service-time'; readonly milliseconds: number}
	| {readonly kind: 'report'}
	| {readonly kind: 'stop'};

/** A target with the URL of the upstream itself, which the baseline calls directly. */
export type VmTarget = {
	readonly target: Target;
	readonly upstreamUrl: string;
};

/** A message from a VM to the bench process. */
export type VmNotice =
	| {readonly kind: 'ready'; readonly callersUrl: string}
	| {readonly kind: 'target'; readonly target: VmTarget | undefined}
	| {readonly kind: 'report'; readonly runs: number; readonly cancelled: number}
	| {readonly kind: 'stopped'};
