import {expect} from 'chai';
import {helpText, helpTopics, UnknownTopicError} from '../help-text/index.js';
import {pointAt} from '../point-at/index.js';
import {printRows} from './index.js';

describe('printRows', () => {
	it('lines up names to the left and numbers to the right', () => {
		const text = printRows(['team', 'rate', 'open'], [{team: 'brook', rate: 20, open: true}, {team: 'a', rate: 1.25}]);
		expect(text).equal('team   rate  open\nbrook    20  yes\na      1.25  -');
	});

	it('never prints control characters', () => {
		expect(printRows(['a'], [{a: 'x\u001B[2J\ny'}])).equal('a\nx?[2J?y');
	});
});

describe('pointAt', () => {
	it('puts a caret below the character in its line', () => {
		expect(pointAt('show\n\tteam x', 6)).equal('\tteam x\n\t^');
		expect(pointAt('show', 4)).equal('show\n    ^');
	});
});

describe('helpText', () => {
	it('has a text for every topic, in the singular too', () => {
		for (const topic of helpTopics) {
			expect(helpText(topic)).not.equal('');
		}

		expect(helpText('team')).equal(helpText('teams'));
	});

	it('refuses a topic that there is not', () => {
		expect(() => helpText('constructor')).throws(UnknownTopicError);
	});
});
