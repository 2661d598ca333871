/**
The retry budgets of one node, one per service.
*/

import type {ServiceName} from '@fireflyglade/model';
import {NodeRetryBudget} from '../node-retry-budget/index.js';
import type {RetryBudget, RetryBudgets} from '../types.js';

/** Creates and keeps one retry budget per service. */
export class ServiceRetryBudgets implements RetryBudgets {
	readonly #budgets = new Map<ServiceName, RetryBudget>();
	readonly #createBudget: () => RetryBudget;

	constructor(createBudget: () => RetryBudget = () => new NodeRetryBudget()) {
		this.#createBudget = createBudget;
	}

	of(service: ServiceName): RetryBudget {
		let budget = this.#budgets.get(service);
		if (budget === undefined) {
			budget = this.#createBudget();
			this.#budgets.set(service, budget);
		}

		return budget;
	}
}
