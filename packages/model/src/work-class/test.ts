import {expect} from 'chai';
import type {RouteId} from '../identifiers/index.js';
import {getWorkClass, maximumWorkClass} from './index.js';

describe('getWorkClass', () => {
	// Entry nodes and gates estimate different work if a class depends on the node or leaves its range.
	it('is a whole number within its range that depends on the id alone', () => {
		const classes = new Set<number>();
		for (let index = 0; index < 200; index++) {
			const workClass = getWorkClass(`orders.example/path-${index}/` as RouteId);
			expect(Number.isInteger(workClass) && workClass >= 0 && workClass <= maximumWorkClass).to.equal(true);
			expect(getWorkClass(`orders.example/path-${index}/` as RouteId)).to.equal(workClass);
			classes.add(workClass);
		}

		expect(classes.size).to.be.greaterThan(190);
	});
});
