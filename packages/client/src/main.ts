#!/usr/bin/env node
/**
The executable of the command-line client for operators.
*/

import process from 'node:process';
import {createProgram} from './create-program/index.js';

const program = createProgram({
	input: process.stdin,
	terminal: process.stdout,
	isInteractive: process.stdin.isTTY && process.stdout.isTTY,
	output: {
		write(text) {
			process.stdout.write(`${text}\n`);
		},
		writeError(text) {
			process.stderr.write(`${text}\n`);
		},
	},
	setExitCode(code) {
		process.exitCode = code;
	},
});

await program.parseAsync();
