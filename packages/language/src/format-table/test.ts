import {expect} from 'chai';
import {getHelpText, helpTopics, UnknownTopicError} from '../get-help-text/index.js';
import {formatErrorPosition} from '../format-error-position/index.js';
import {formatTable} from './index.js';

describe('printRows', () => {
	it('lines up names to the left and numbers to the right', () => {
		const text = formatTable(['team', 'rate', 'open'], [{team: 'brook', rate: 20, open: true}, {team: 'a', rate: 1.25}]);
		expect(text).equal('team   rate  open\nbrook    20  yes\na      1.25  -');
	});

	it('never prints control characters', () => {
		expect(formatTable(['a'], [{a: 'x\u001B[2J\ny'}])).equal('a\nx?[2J?y');
	});
});

describe('pointAt', () => {
	it('puts a caret below the character in its line', () => {
		expect(formatErrorPosition('show\n\tteam x', 6)).equal('\tteam x\n\t^');
		expect(formatErrorPosition('show', 4)).equal('show\n    ^');
	});
});

describe('helpText', () => {
	it('has a text for every topic, in the singular too', () => {
		for (const topic of helpTopics) {
			expect(getHelpText(topic)).not.equal('');
		}

		expect(getHelpText('team')).equal(getHelpText('teams'));
	});

	it('refuses a topic that there is not', () => {
		expect(() => getHelpText('constructor')).throws(UnknownTopicError);
	});
});
