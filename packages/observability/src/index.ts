/**
Logs, spans, histograms and counters.
*/

export {};
