/**
Grammar of the operators' statements.
*/

export type * from './types.js';
