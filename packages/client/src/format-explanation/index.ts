/**
Formats a node's explanation of a request: a sentence on where it would probably go and
why, and a table of the candidates of each service.
*/

import {formatTable} from '@fireflyglade/language';
import {UnreachableError} from '@fireflyglade/model';

/** Why a target doesn't get a request. */
export type Exclusion =
	| {readonly kind: 'ejected'; readonly remainingMilliseconds: number}
	| {readonly kind: 'drained' | 'unreachable' | 'stopping' | 'unavailable' | 'shedding' | 'tried'};

/** One candidate, as a node's status listener describes it. */
export type ExplainedTarget = {
	readonly upstream: string;
	readonly node: string;
	readonly domain: string;
	readonly exclusion?: Exclusion;
	readonly isPreferred: boolean;
	readonly load: number;
	readonly waitMilliseconds?: number;
	readonly serviceMilliseconds?: number;
	readonly probability?: number;
	readonly successShare: number;
	readonly levelAgeMilliseconds?: number;
	readonly part: number;
};

/** A service that the request may go to. */
export type ExplainedService = {
	readonly service: string;
	readonly share: number;
	readonly isThrottled: boolean;
	readonly targets: readonly ExplainedTarget[];
};

/** The answer of a node's status listener. */
export type Explanation =
	| {readonly kind: 'refused'; readonly route?: string; readonly problem: {readonly code: string; readonly detail: string}}
	| {
		readonly kind: 'route';
		/** The entry node, which explains the request. */
		readonly node: string;
		readonly route: string;
		readonly team?: string;
		readonly priority: number;
		readonly deadlineMilliseconds: number;
		readonly objectiveMilliseconds?: number;
		readonly admittedShare: number;
		readonly services: readonly ExplainedService[];
	};

const columns = ['upstream', 'node', 'domain', 'choice', 'load', 'wait ms', 'service ms', 'in time', 'success', 'level ms', 'part'];

/** Formats an explanation for people. */
export function formatExplanation(explanation: Explanation): string {
	if (explanation.kind === 'refused') {
		const {route, problem} = explanation;
		return `The request would be refused${route === undefined ? '' : ` on route ${route}`}: ${problem.code}, ${problem.detail}.`;
	}

	const {services} = explanation;
	const sentences = services.map(service => `${services.length > 1 ? `${formatPercent(service.share)} of the requests go to ${service.service}. ` : ''}${formatSentence(service, explanation.node)}`);
	return [
		...sentences, ...formatAdmission(explanation.admittedShare), formatTerms(explanation), ...services.flatMap(service => formatTargets(service)),
	].join('\n');
}

function formatSentence({service, isThrottled, targets}: ExplainedService, entryNode: string): string {
	if (isThrottled) {
		return 'The entry node would refuse the request: the gates refuse most requests of its team, service and priority.';
	}

	const preferred = targets.find(({isPreferred}) => isPreferred);
	if (preferred === undefined) {
		return targets.some(({exclusion}) => exclusion?.kind === 'shedding')
			? `The request would be refused: every usable upstream of ${service} sheds its priority.`
			: `The request would be refused: no upstream of ${service} may get it.`;
	}

	const usable = targets.filter(({exclusion}) => exclusion === undefined).length;
	return `The request would probably go to ${preferred.upstream} on ${preferred.node}, the preferred one of ${usable} candidates: ${formatReason(preferred, entryNode)}.`;
}

function formatReason({node, load, probability}: ExplainedTarget, entryNode: string): string {
	const place = node === entryNode ? ', and it needs no hop to another node' : '';
	return probability === undefined
		? `the choice is by load and failure domain; its load is ${load.toFixed(2)}${place}`
		: `the choice is by the probability of meeting the objective, less the price of capacity; its probability is ${probability.toFixed(2)}${place}`;
}

function formatAdmission(share: number): readonly string[] {
	return share < 1 ? [`The entry node admits ${formatPercent(share)} of such requests and refuses the others, because a service further down is overloaded.`] : [];
}

function formatTerms({route, team, priority, deadlineMilliseconds, objectiveMilliseconds}: Extract<Explanation, {readonly kind: 'route'}>): string {
	const terms = [`route ${route}`, ...(team === undefined ? [] : [`team ${team}`]), `priority ${priority}`, `deadline ${deadlineMilliseconds} ms`];
	return [...terms, objectiveMilliseconds === undefined ? 'no objective' : `objective ${objectiveMilliseconds} ms`].join(', ');
}

function formatTargets({service, targets}: ExplainedService): readonly string[] {
	return targets.length === 0 ? [] : ['', service, formatTable(columns, targets.map(target => createRow(target)))];
}

function createRow(target: ExplainedTarget): Record<string, string | number> {
	const {upstream, node, domain, exclusion, isPreferred} = target;
	return {
		upstream,
		node,
		domain,
		choice: exclusion === undefined ? (isPreferred ? 'preferred' : 'candidate') : formatExclusion(exclusion),
		load: target.load.toFixed(2),
		'wait ms': formatMilliseconds(target.waitMilliseconds),
		'service ms': formatMilliseconds(target.serviceMilliseconds),
		'in time': target.probability?.toFixed(2) ?? '-',
		success: target.successShare.toFixed(2),
		'level ms': formatMilliseconds(target.levelAgeMilliseconds),
		part: target.part.toFixed(2),
	};
}

function formatExclusion(exclusion: Exclusion): string {
	switch (exclusion.kind) {
		case 'ejected': {
			return `ejected for ${Math.ceil(exclusion.remainingMilliseconds)} ms`;
		}

		case 'shedding': {
			return 'sheds this priority';
		}

		case 'drained':
		case 'unreachable':
		case 'stopping':
		case 'unavailable':
		case 'tried': {
			return exclusion.kind;
		}

		default: {
			throw new UnreachableError(exclusion);
		}
	}
}

function formatMilliseconds(milliseconds: number | undefined): string {
	return milliseconds === undefined ? '-' : milliseconds.toFixed(0);
}

function formatPercent(share: number): string {
	return `${Math.round(share * 100)} %`;
}
