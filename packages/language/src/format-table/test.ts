import {expect} from 'chai';
import {getHelpText, helpTopics, UnknownTopicError} from '../get-help-text/index.js';
import {formatErrorPosition} from '../format-error-position/index.js';
import {formatTable} from './index.js';

describe('formatTable', () => {
	it('aligns text to the left and numbers to the right', () => {
		const text = formatTable(['team', 'rate', 'open'], [{team: 'brook', rate: 20, open: true}, {team: 'a', rate: 1.25}]);
		expect(text).equal('team   rate  open\nbrook    20  yes\na      1.25  -');
	});

	it('replaces control characters', () => {
		expect(formatTable(['a'], [{a: 'x\u001B[2J\ny'}])).equal('a\nx?[2J?y');
	});
});

describe('formatErrorPosition', () => {
	it('puts a caret below the character at the position', () => {
		expect(formatErrorPosition('show\n\tteam x', 6)).equal('\tteam x\n\t^');
		expect(formatErrorPosition('show', 4)).equal('show\n    ^');
	});
});

describe('getHelpText', () => {
	it('has a text for every topic, in the singular too', () => {
		for (const topic of helpTopics) {
			expect(getHelpText(topic)).not.equal('');
		}

		expect(getHelpText('team')).equal(getHelpText('teams'));
	});

	it('refuses an unknown topic', () => {
		expect(() => getHelpText('constructor')).throws(UnknownTopicError);
	});
});
