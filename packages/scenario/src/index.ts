/**
Stand-ins, load tool, benches and scenario language.
*/

export {};
