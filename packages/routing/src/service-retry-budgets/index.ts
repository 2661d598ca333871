/**
The retry budgets of one node, one per service.
*/

import type {ServiceName} from '@fireflyglade/model';
import {defaultRetryAllowance, NodeRetryBudget, type RetryAllowance} from '../node-retry-budget/index.js';
import type {RetryBudget, RetryBudgets} from '../types.js';

/** Creates and keeps one retry budget per service. */
export class ServiceRetryBudgets implements RetryBudgets {
	readonly #budgets = new Map<ServiceName, RetryBudget>();
	readonly #allowance: RetryAllowance;

	constructor(allowance: RetryAllowance = defaultRetryAllowance) {
		this.#allowance = allowance;
	}

	of(service: ServiceName): RetryBudget {
		let budget = this.#budgets.get(service);
		if (budget === undefined) {
			budget = new NodeRetryBudget(this.#allowance);
			this.#budgets.set(service, budget);
		}

		return budget;
	}
}
