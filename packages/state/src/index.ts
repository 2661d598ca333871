/**
Configuration state machine, command de-duplication and claims.
*/

export type * from './types.js';
