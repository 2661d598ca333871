/**
Checked settings files in JSON with comments.
*/

export type * from './types.js';
