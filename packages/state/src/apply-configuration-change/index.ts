/**
Applies changes to the configuration.

The function is pure and does not depend on the time, so control processes and
nodes derive the same configuration from the same changes.
*/

import type {Configuration, ConfigurationChange, Revision} from '@fireflyglade/model';
import {applyChange, isRefusal} from '../_lib/apply-change.js';
import {copyingEditor} from '../_lib/collection-editor.js';
import type {ChangeRefusal} from '../types.js';

/** The result of a change. */
export type ConfigurationChangeResult =
	| {readonly kind: 'changed'; readonly configuration: Configuration}
	| {readonly kind: 'refused'; readonly refusal: ChangeRefusal};

/**
Applies one change.

@param configuration - The configuration before the change; it is not modified.
@param change - The change.
@param revision - The revision of the configuration after the change.
@returns The new configuration, or the reason why the change was refused.

@example
```ts
applyConfigurationChange(emptyConfiguration, {kind: 'create-team', team}, 1 as Revision);
```
*/
export function applyConfigurationChange(configuration: Configuration, change: ConfigurationChange, revision: Revision): ConfigurationChangeResult {
	const result = applyChange(configuration, change, copyingEditor);
	if (isRefusal(result)) {
		return {kind: 'refused', refusal: result};
	}

	return {kind: 'changed', configuration: {...configuration, ...result, revision}};
}
