/**
The operators' command line.
*/

export {};
