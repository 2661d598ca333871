/**
The embedded default: one process with control, nodes and stand-ins.
*/

export {};
