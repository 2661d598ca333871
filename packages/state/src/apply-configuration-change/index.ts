/**
Applies changes to the configuration.

The function is pure and takes no time, so control processes and nodes come to
the same configuration from the same changes.
*/

import type {Configuration, ConfigurationChange, Revision} from '@fireflyglade/model';
import {decideChange, isRefusal} from '../_lib/decide-change.js';
import {copyingEditor} from '../_lib/map-editor.js';
import type {ChangeRefusal} from '../types.js';

/** What a change led to. */
export type ConfigurationChangeResult =
	| {readonly kind: 'changed'; readonly configuration: Configuration}
	| {readonly kind: 'refused'; readonly refusal: ChangeRefusal};

/**
Applies one change.

@param configuration - The configuration before the change; it is left as it is.
@param change - The change.
@param revision - The revision of the configuration after the change.
@returns The new configuration, or why the change was refused.

@example
```ts
applyConfigurationChange(emptyConfiguration, {kind: 'create-team', team}, 1 as Revision);
```
*/
export function applyConfigurationChange(configuration: Configuration, change: ConfigurationChange, revision: Revision): ConfigurationChangeResult {
	const result = decideChange(configuration, change, copyingEditor);
	if (isRefusal(result)) {
		return {kind: 'refused', refusal: result};
	}

	return {kind: 'changed', configuration: {...configuration, ...result, revision}};
}
