/**
The daemon that keeps the replicated configuration.
*/

export {};
